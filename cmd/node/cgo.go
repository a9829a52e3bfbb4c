package main

import "C" // links the program to the system's C library, which the platform requires
