package main

// commands lists all commands. It is set in init, because cmdHelp refers to it, which would
// be an initialization cycle.
var commands []command

func init() {
	commands = []command{
		cmdEntry,
		cmdGateway,
		cmdCheck,
		cmdContract,
		cmdKey,
		cmdCall,
		cmdStatus,
		cmdExplain,
		cmdLoad,
		cmdMeasure,
		cmdVersion,
		cmdHelp,
	}
}

func findCommand(name string) (command, bool) {
	for _, c := range commands {
		if c.name == name {
			return c, true
		}
	}
	return command{}, false
}
