package main

// commands is the table from which help and dispatch work; init fills it, since
// help itself is in it.
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

func find(name string) (command, bool) {
	for _, c := range commands {
		if c.name == name {
			return c, true
		}
	}
	return command{}, false
}
