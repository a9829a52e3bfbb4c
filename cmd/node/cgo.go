package main

// The program is linked to the system's C library, which the platform requires.

/*
#include <signal.h>

// The Go runtime ends the process on SIGHUP until main handles it. What is ignored
// when the runtime starts stays ignored until then.
__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
