package simtest

// shareParameters are the parameters of faults that affect a share of the requests.
var shareParameters = []parameter{numberParameter("share", "share of the requests, 0 ends the fault")}

// networkCommands inject faults into the network.
var networkCommands = map[string]command{
	"cut": {
		usage: "cuts the links between controllers and other processes",
		parameters: withParameters(
			controllerParameters,
			required(textParameter("from", "the other end: workers, state, cloud, user or a controller")),
			textParameter("zone", "only the workers of a zone"),

			numberParameter("refused_share", "share of the requests to controllers over cut links that fail at once, 0 if absent; the others hang"),
		),
		run: actionCommand(func(world *World, arguments Arguments) { cutLinks(world, arguments, true) }),
	},
	"heal": {
		usage: "restores links that cut has cut",
		parameters: withParameters(
			controllerParameters,
			required(textParameter("from", "the other end: workers, state, cloud, user or a controller")),
			textParameter("zone", "only the workers of a zone"),
		),
		run: actionCommand(func(world *World, arguments Arguments) { cutLinks(world, arguments, false) }),
	},
	"cut_zone": {
		usage: "partitions the workers of a zone and a controller from the rest of the network",
		parameters: withParameters(
			controllerParameters,
			required(textParameter("zone", "zone")),
			durationParameter("for", "20s if absent"),
		),
		run: cutOffZone,
	},
	"network": {
		usage: "makes links lose packets and deliver requests a second time later",
		parameters: []parameter{
			numberParameter("loss", "share of packets that are lost"),
			numberParameter("repeated", "share of requests that are executed a second time later"),
		},
		run: actionCommand(func(world *World, arguments Arguments) {
			world.network.lossShare, world.network.copies.calls = arguments.number("loss", "0"), arguments.number("repeated", "0")
		}),
	},
	"worker_sockets": {
		usage:      "limits the number of workers that a controller has sockets for",
		parameters: []parameter{required(numberParameter("count", "workers, 0 for no limit"))},
		run: actionCommand(func(world *World, arguments Arguments) {
			world.network.maxWorkerConnections = int(arguments.number("count", "0"))
		}),
	},
	"duplicate_heartbeats": {
		usage: "makes copies of heartbeats arrive late, at any controller",
		parameters: withParameters(
			shareParameters,
			durationParameter("within", "longest delay of a copy, 30s if absent"),
		),
		run: actionCommand(func(world *World, arguments Arguments) {
			world.network.copies.heartbeats, world.network.copies.heartbeatDelay = arguments.number("share", "0"), arguments.duration("within", "30s")
		}),
	},
	"delay_heartbeats": {
		usage:      "delays heartbeats by seconds; they may arrive at another controller",
		parameters: shareParameters,
		run: actionCommand(func(world *World, arguments Arguments) {
			world.network.delayedHeartbeatShare = arguments.number("share", "0")
		}),
	},
	"delay_commands": {
		usage:      "delays direct commands or their responses by seconds",
		parameters: shareParameters,
		run: actionCommand(func(world *World, arguments Arguments) {
			world.network.delayedCommandShare = arguments.number("share", "0")
		}),
	},
}

// cutLinks cuts the links between controllers and other processes, or restores them if enabled
// is false.
func cutLinks(world *World, arguments Arguments, enabled bool) {
	world.network.refusedWhenCutShare = arguments.number("refused_share", "0")
	for _, process := range world.selectControllers(arguments["controller"]) {
		if arguments["from"] != "workers" {
			world.network.setLinkCut(process.name, arguments["from"], enabled)
			continue
		}
		for _, worker := range world.sortedWorkers() {
			if zone, ok := arguments["zone"]; !ok || zone == worker.zone {
				world.network.setLinkCutOnly(process.name, worker.name, enabled)
			}
		}
	}
	if !enabled {
		world.network.releaseHeldPackets() // once after the loop, because it processes all held packets
	}
}

// cutOffZone partitions a zone and a controller from the rest of the network for the given duration.
func cutOffZone(world *World, arguments Arguments, _ string) (string, error) {
	process, err := world.selectController(arguments)
	if err != nil {
		return "", err
	}
	world.network.cutZone(process, arguments["zone"], arguments.duration("for", "20s"))
	return "ok", nil
}
