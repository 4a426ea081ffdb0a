/** Plain ways of choosing a server, to compare the adaptive choice with. */
import {type ChoiceRequest} from './choose.js';
import {balancingAlgorithms, type BalancingAlgorithm} from './policy.js';
import {type ServerView, type ServiceView} from './view.js';

type BaselineAlgorithm = (
	service: ServiceView,
	allowed: readonly ServerView[],
	random: () => number,
) => ServerView | undefined;

const baselines: Readonly<
	Record<Exclude<BalancingAlgorithm, 'adaptive'>, BaselineAlgorithm>
> = {
	[balancingAlgorithms.random]: (_, allowed, random) => pickRandom(allowed, random),
	[balancingAlgorithms.roundRobin](service, allowed) {
		service.roundRobinIndex += 1;
		return allowed[service.roundRobinIndex % Math.max(1, allowed.length)];
	},
	[balancingAlgorithms.leastInFlight]: chooseLeastInFlight,
	[balancingAlgorithms.twoChoices](_, allowed, random) {
		const one = pickRandom(allowed, random);
		const other = pickRandom(allowed, random);
		return one && other && reportedLoad(other) < reportedLoad(one) ? other : one;
	},
};

/**
 * Chooses a server by a baseline, blind to place and age.
 *
 * @param service the service's view; its turn moves on
 * @param request names the baseline
 * @returns the server, or undefined when all are excluded
 */
export function chooseByBaseline(
	service: ServiceView,
	request: ChoiceRequest,
): ServerView | undefined {
	const {choice} = request.policy;
	if (choice === balancingAlgorithms.adaptive) {
		return undefined;
	}

	const allowed =
		request.excluded.size === 0
			? service.servers
			: service.servers.filter(server => !request.excluded.has(server.nodeId));
	return baselines[choice](service, allowed, request.random);
}

function pickRandom(
	servers: readonly ServerView[],
	random: () => number,
): ServerView | undefined {
	return servers[Math.floor(random() * servers.length)];
}

/** Ties go to a random server: the search starts at a random place. */
function chooseLeastInFlight(
	_: ServiceView,
	allowed: readonly ServerView[],
	random: () => number,
): ServerView | undefined {
	const start = Math.floor(random() * allowed.length);
	let best = allowed[start];
	for (let step = 1; step < allowed.length; step += 1) {
		const server = allowed[(start + step) % allowed.length]!;
		if (best !== undefined && server.ownInFlight < best.ownInFlight) {
			best = server;
		}
	}

	return best;
}

function reportedLoad(server: ServerView): number {
	return server.report === undefined ? 0 : server.report.inFlight + server.report.queued;
}
