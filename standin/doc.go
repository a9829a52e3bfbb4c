// Package standin contains in-memory stand-ins for the systems around
// redwinghall: the platform's table, model engines, plain services and the
// network between them. Only tests, the demo and measurements use them;
// production programs don't.
package standin
