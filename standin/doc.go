// Package standin is the root of small stand-ins for what surrounds
// redwinghall: the platform's table, model engines, plain services and the
// network between. Tests, the demo and measurements use them; no program that
// serves does.
package standin
