"""Cases of an independent review, each with a script that shows a broken rule."""
