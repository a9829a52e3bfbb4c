package main

// The platform requires a program that is linked to the system's C library, as this package is.
import _ "redwinghall/hangup"
