/**
 * Routing for the ingress: chooses a member for each attempt, records the results, and keeps the
 * retry budgets of each service. It owns the node's load view.
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
	/** Active policies of a service. */
	readonly findPolicies: (service: string) => NodePolicies;
	/** Current time, milliseconds of the monotonic clock. */
	readonly now: () => number;
	/** Uniform random number in [0, 1). */
	readonly random: () => number;
};

export type Router = {
	/** Chooses a member for the next attempt, or `undefined` when none may be chosen. */
	readonly chooseMember: (
		head: CallHead,
		excluded: ReadonlySet<string>,
	) => Member | undefined;
	/** Wraps a running attempt so that its result is recorded in the load view. */
	readonly observeAttempt: (
		member: Member,
		service: string,
		running: RunningAttempt,
	) => RunningAttempt;
	/** Whether a failed attempt may be retried; spends from the budget of its service and rank. */
	readonly grantRetry: (head: CallHead, result: AttemptResult) => boolean;
};

/** State of a service in the router. */
type ServiceState = {
	members: readonly Member[];
	view: ServiceView;
	/** A retry budget for each rank, most urgent first: a flood in one rank spends only its own. */
	readonly retryBudgets: ExtraAttemptBudget[];
};

/** Assumed size of a call in both directions, for the cross-region limit. */
const assumedCallBytes = 2000;

/**
 * Creates the router.
 *
 * @param options location of the node, members, policies, clock and random source
 * @returns the router, with an empty load view
 */
export function createRouter(options: RouterOptions): Router {
	const {membersOf, now, findPolicies, random} = options;
	const view = createLoadView(options.location);
	const services = new Map<string, ServiceState>();

	function findServiceState(service: string): ServiceState {
		const members = membersOf(service);
		const known = services.get(service);
		if (known?.members === members) {
			return known;
		}

		const candidates = members.filter(isEligible);
		const serviceState: ServiceState = {
			members,
			view: updateServers(view, service, candidates, now()),
			retryBudgets: known?.retryBudgets ?? [],
		};
		services.set(service, serviceState);
		return serviceState;
	}

	function findRetryBudget(head: CallHead): ExtraAttemptBudget {
		const rankIndex = findRankIndex(findPolicies(head.service).ranks, head.rank);
		const {retryBudgets} = findServiceState(head.service);
		retryBudgets[rankIndex] ??= createExtraAttemptBudget();
		return retryBudgets[rankIndex];
	}

	return {
		chooseMember(head, excluded) {
			const {ranks, routing} = findPolicies(head.service);
			const serviceState = findServiceState(head.service);
			if (excluded.size === 0) {
				creditFirstAttempt(findRetryBudget(head), routing.retryShare);
			}

			const request = {
				policy: routing,
				rankIndex: findRankIndex(ranks, head.rank),
				rankCount: ranks.length,
				bytes: assumedCallBytes,
				excluded,
				random,
			};
			const server = chooseServer(view, serviceState.view, request, now());
			return serviceState.members.find(member => member.nodeId === server?.nodeId);
		},
		observeAttempt(member, service, running) {
			const serviceState = findServiceState(service);
			const server = findServer(serviceState.view, member.nodeId);
			if (server === undefined) {
				return running;
			}

			const startedAt = now();
			let isAbandoned = false;
			recordSent(server, startedAt);
			const result = running.result.then(settled => {
				const endedAt = now();
				const end = isAbandoned ? attemptEnds.abandoned : classifyResult(settled);
				const latencyMilliseconds = endedAt - startedAt;
				const report = decodeLoadReport(readLoadHeader(settled));
				recordResult(
					serviceState.view,
					server,
					{end, latencyMilliseconds, report},
					endedAt,
				);
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
			if (isFreeToRetry(result)) {
				return true;
			}

			const request = {
				isSafe: true,
				retriesAbove: head.retries,
				isCompleteResponse: false,
				deadlineAt: head.deadlineAt,
				expectedMilliseconds: 0,
			};
			return tryRetry(findRetryBudget(head), request, now());
		},
	};
}

/** A retry needs no budget if the attempt reached no server and was not refused for overload. */
function isFreeToRetry(result: AttemptResult): boolean {
	return (
		result.kind === attemptResultKinds.refused &&
		result.outcome === outcomes.notRun &&
		result.refusal.kind !== refusalKinds.overloaded
	);
}

function isEligible(member: Member): boolean {
	return member.status === memberStatuses.alive && member.slots > 0;
}

function readLoadHeader(result: AttemptResult): string | undefined {
	return result.kind === attemptResultKinds.lost ? undefined : result.load;
}

function classifyResult(result: AttemptResult): AttemptEnd {
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
