"""`python -m milletsill`."""
from milletsill.cli.main import main

main(prog_name="milletsill")
