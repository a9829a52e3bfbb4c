package main

import _ "redwinghall/hangup" // outlives SIGHUP before main
