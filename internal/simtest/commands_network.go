package simtest

// shareParameters are those of faults that concern a share of requests.
var shareParameters = []parameter{numberParameter("share", "of all, 0 ends it")}

// networkCommands bring faults to the network.
var networkCommands = map[string]command{
	"cut": {
		usage: "stops packets between controllers and another party",
		parameters: withParameters(
			controllerParameters,
			required(textParameter("from", "workers, state, cloud, user or a controller")),
			textParameter("zone", "only the workers of a zone"),

			numberParameter("refused", "share of requests to controllers over cut links that fail at once, 0 if absent: the others hang"),
		),
		run: acting(func(world *World, arguments Arguments) { cutLinks(world, arguments, true) }),
	},
	"heal": {
		usage: "ends cut",
		parameters: withParameters(
			controllerParameters,
			required(textParameter("from", "workers, state, cloud, user or a controller")),
			textParameter("zone", "only the workers of a zone"),
		),
		run: acting(func(world *World, arguments Arguments) { cutLinks(world, arguments, false) }),
	},
	"cut_zone": {
		usage: "cuts a zone's workers and a controller off from everything else",
		parameters: withParameters(
			controllerParameters,
			required(textParameter("zone", "zone")),
			durationParameter("for", "20s if absent"),
		),
		run: cutOffZone,
	},
	"network": {
		usage: "lets links lose packets and repeat requests late",
		parameters: []parameter{
			numberParameter("loss", "share of packets that are lost"),
			numberParameter("late", "share of requests that are carried out once more, late"),
		},
		run: acting(func(world *World, arguments Arguments) {
			world.network.lossShare, world.network.lateRepeatShare = arguments.number("loss", "0"), arguments.number("late", "0")
		}),
	},
	"worker_sockets": {
		usage:      "limits the workers that a controller has sockets for",
		parameters: []parameter{required(numberParameter("count", "workers, 0 for no limit"))},
		run: acting(func(world *World, arguments Arguments) {
			world.network.workerSockets = int(arguments.number("count", "0"))
		}),
	},
	"copies": {
		usage: "lets copies of heartbeats arrive late, at any controller",
		parameters: withParameters(
			shareParameters,
			durationParameter("within", "30s if absent"),
		),
		run: acting(func(world *World, arguments Arguments) {
			world.network.duplicateShare, world.network.duplicateDelay = arguments.number("share", "0"), arguments.duration("within", "30s")
		}),
	},
	"delay_reports": {
		usage:      "lets heartbeats arrive seconds late, maybe elsewhere",
		parameters: shareParameters,
		run: acting(func(world *World, arguments Arguments) {
			world.network.delayedHeartbeats = arguments.number("share", "0")
		}),
	},
	"delay_commands": {
		usage:      "lets direct commands or their answers arrive seconds late",
		parameters: shareParameters,
		run: acting(func(world *World, arguments Arguments) {
			world.network.delayedCommands = arguments.number("share", "0")
		}),
	},
}

// cutLinks cuts controllers off from another party, or ends that.
func cutLinks(world *World, arguments Arguments, enabled bool) {
	world.network.refusedWhenCut = arguments.number("refused", "0")
	for _, process := range world.selectControllers(arguments["node"]) {
		if arguments["from"] != "workers" {
			world.network.setLinkCut(process.name, arguments["from"], enabled)
			continue
		}
		for _, worker := range world.sortedWorkers() {
			if zone, ok := arguments["zone"]; !ok || zone == worker.zone {
				world.network.markLinkCut(process.name, worker.name, enabled)
			}
		}
	}
	if !enabled {
		world.network.releaseHeldPackets() // once: it goes through all that are held
	}
}

// cutOffZone cuts a zone and a controller off from everything else for a while.
func cutOffZone(world *World, arguments Arguments, _ string) (string, error) {
	process, err := world.selectController(arguments)
	if err != nil {
		return "", err
	}
	world.network.cutZone(process, arguments["zone"], arguments.duration("for", "20s"))
	return "ok", nil
}
