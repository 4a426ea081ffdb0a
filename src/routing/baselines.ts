/** Standard load-balancing algorithms, as baselines for the adaptive one. */
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
 * Chooses a server by a baseline algorithm, which ignores location and the age of reports.
 *
 * @param service the service's view; round robin advances its index
 * @param request selects the algorithm
 * @returns the server, or undefined if all are excluded
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

/** Starts at a random index, so that ties are broken at random. */
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
