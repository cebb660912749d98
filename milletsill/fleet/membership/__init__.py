"""Who is there: failure detection in the manner of SWIM with Lifeguard's self-doubt."""
