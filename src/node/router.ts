/**
 * Routing as the ingress uses it: picks a member for each attempt, learns from what comes back,
 * and keeps the retry budget of each service. It owns the node's view of load.
 */
import {findRankIndex} from '../admission/index.js';
import {
	attemptResultKinds,
	outcomes,
	refusalKinds,
	type AttemptResult,
	type CallHead,
	type RunningAttempt,
} from '../call/index.js';
import {memberStatuses, type Member} from '../membership/index.js';
import {
	updateServers,
	attemptEnds,
	chooseServer,
	createLoadView,
	createExtraAttemptBudget,
	decodeLoadReport,
	creditFirstAttempt,
	findServer,
	recordResult,
	recordSent,
	tryRetry,
	type AttemptEnd,
	type NodeLocation,
	type ServiceView,
	type ExtraAttemptBudget,
} from '../routing/index.js';
import type {NodePolicies} from './policies.js';

export type RouterOptions = {
	readonly location: NodeLocation;
	/** The members that have a server of a service; the same array until one of them changes. */
	readonly membersOf: (service: string) => readonly Member[];
	/** The policies in force for a service. */
	readonly findPolicies: (service: string) => NodePolicies;
	/** Present time, milliseconds of the monotonic clock. */
	readonly now: () => number;
	/** A number from 0 to 1. */
	readonly random: () => number;
};

export type Router = {
	/** Picks a member for the next attempt, or `undefined` when none may be chosen. */
	readonly chooseMember: (
		head: CallHead,
		excluded: ReadonlySet<string>,
	) => Member | undefined;
	/** Learns from an attempt under way, and passes it on. */
	readonly observeAttempt: (
		member: Member,
		service: string,
		running: RunningAttempt,
	) => RunningAttempt;
	/** Whether one more attempt may follow a failed one; spends from the service's budget. */
	readonly grantRetry: (head: CallHead, result: AttemptResult) => boolean;
};

/** What the router keeps for each service. */
type Route = {
	members: readonly Member[];
	view: ServiceView;
	/** A budget for each rank, most urgent first, so that a flood spends only its own. */
	readonly retries: ExtraAttemptBudget[];
};

/** Bytes that a call is taken to carry to another region and back. */
const typicalCallBytes = 2000;

/**
 * Creates the router.
 *
 * @param options where the node stands, the members, the policies, clock and random
 * @returns the router, with nothing known of any server
 */
export function createRouter(options: RouterOptions): Router {
	const {membersOf, now, findPolicies: policies, random} = options;
	const view = createLoadView(options.location);
	const routes = new Map<string, Route>();

	function findRoute(service: string): Route {
		const members = membersOf(service);
		const known = routes.get(service);
		if (known?.members === members) {
			return known;
		}

		const candidates = members.filter(isFit);
		const route: Route = {
			members,
			view: updateServers(view, service, candidates, now()),
			retries: known?.retries ?? [],
		};
		routes.set(service, route);
		return route;
	}

	function findBudget(head: CallHead): ExtraAttemptBudget {
		const rankIndex = findRankIndex(policies(head.service).ranks, head.rank);
		const {retries} = findRoute(head.service);
		retries[rankIndex] ??= createExtraAttemptBudget();
		return retries[rankIndex];
	}

	return {
		chooseMember(head, excluded) {
			const {ranks, routing} = policies(head.service);
			const route = findRoute(head.service);
			if (excluded.size === 0) {
				creditFirstAttempt(findBudget(head), routing.retryShare);
			}

			const request = {
				policy: routing,
				rankIndex: findRankIndex(ranks, head.rank),
				rankCount: ranks.length,
				bytes: typicalCallBytes,
				excluded,
				random,
			};
			const server = chooseServer(view, route.view, request, now());
			return route.members.find(member => member.nodeId === server?.nodeId);
		},
		observeAttempt(member, service, running) {
			const route = findRoute(service);
			const server = findServer(route.view, member.nodeId);
			if (server === undefined) {
				return running;
			}

			const startedAt = now();
			let isAbandoned = false;
			recordSent(server, startedAt);
			const result = running.result.then(settled => {
				const present = now();
				const end = isAbandoned ? attemptEnds.abandoned : classify(settled);
				const latencyMilliseconds = present - startedAt;
				const report = decodeLoadReport(readLoad(settled));
				recordResult(route.view, server, {end, latencyMilliseconds, report}, present);
				return settled;
			});
			return {
				result,
				cancel() {
					isAbandoned = true;
					running.cancel();
				},
			};
		},
		grantRetry(head, result) {
			if (costNothing(result)) {
				return true;
			}

			const request = {
				isSafe: true,
				retriesAbove: head.retries,
				isCompleteResponse: false,
				deadlineAt: head.deadlineAt,
				expectedMilliseconds: 0,
			};
			return tryRetry(findBudget(head), request, now());
		},
	};
}

/** An attempt that met no server costs no server anything: another may follow freely. */
function costNothing(result: AttemptResult): boolean {
	return (
		result.kind === attemptResultKinds.refused &&
		result.outcome === outcomes.notRun &&
		result.refusal.kind !== refusalKinds.overloaded
	);
}

function isFit(member: Member): boolean {
	return member.status === memberStatuses.alive && member.slots > 0;
}

function readLoad(result: AttemptResult): string | undefined {
	return result.kind === attemptResultKinds.lost ? undefined : result.load;
}

function classify(result: AttemptResult): AttemptEnd {
	if (result.kind === attemptResultKinds.answered) {
		return result.status >= 500 ? attemptEnds.failed : attemptEnds.answered;
	}

	if (result.kind === attemptResultKinds.lost) {
		return attemptEnds.failed;
	}

	return result.refusal.kind === refusalKinds.serverFailed
		? attemptEnds.failed
		: attemptEnds.refused;
}
