// Package planningpb is the generated form of what instances and the planner exchange.
package planningpb
