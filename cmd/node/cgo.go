package main

import "C" // links the program to the system's C library, as the platform asks
