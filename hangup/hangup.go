// Package hangup lets a program outlive SIGHUP from before its main function on. A program imports it for
// this effect alone; it needs the system's C library.
//
// The Go runtime ends a process on SIGHUP until main handles it. What is ignored when the runtime starts stays
// ignored until then. An operator's tool that sends SIGHUP to all processes, also to those that are just starting,
// would end these. From exec to the loader's first constructors a process can't guard itself.
package hangup

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
