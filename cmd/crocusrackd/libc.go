package main

import "C" // Links the daemon against the system's C library, as the users run it.
