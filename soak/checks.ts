/**
 * Checks the guarantees of the product against what callers and servers recorded. Pure functions,
 * so that a unit test can show that each check detects a violation.
 */

/** A request and its response, as the caller recorded them. */
export type SentRequest = {
	readonly id: string;
	readonly node: number;
	readonly idempotent: boolean;
	/** Milliseconds since the start of the run, as are all times here. */
	readonly sentAt: number;
	readonly endedAt: number;
	/** 0 when the connection broke before a complete response. */
	readonly status: number;
	/** Id of the request that the response names. */
	readonly answeredId: string | undefined;
	readonly seal: string | undefined;
	readonly body: string;
	/** Execution outcome that the node reports: ran, not-run or unknown. */
	readonly outcome: string | undefined;
	/** Kind of the refusal that the node reports. */
	readonly refusal?: string | undefined;
	/** Version of the configuration that added the route; 0 for the routes of the first version. */
	readonly sinceVersion: number;
	/** Number of restarts of the node before the request. */
	readonly restartCount: number;
};

/** One run of a request, as its server recorded it. */
export type ServerRun = {
	readonly id: string;
	readonly server: string;
	readonly at: number;
};

/** A drain of a server that its node acknowledged. */
export type ServerDrain = {readonly server: string; readonly acknowledgedAt: number};

/** A period in which a server named a limit on its request rate. */
export type ServerLimit = {
	readonly server: string;
	readonly requestsPerSecond: number;
	readonly from: number;
	/** Infinity while it names the limit. */
	until: number;
};

/** A configuration version written to the store. */
export type StoredVersion = {readonly version: number; readonly at: number};

/** A period in which a node may fail its callers; an undefined target stands for all nodes. */
export type Disturbance = {
	readonly from: number;
	/** Infinity while the disturbance lasts. */
	until: number;
	readonly target: number | undefined;
};

export type Evidence = {
	readonly requests: readonly SentRequest[];
	readonly runs: readonly ServerRun[];
	readonly drains: readonly ServerDrain[];
	readonly limits: readonly ServerLimit[];
	readonly versions: readonly StoredVersion[];
	readonly disturbances: readonly Disturbance[];
	/** Whether all faults of the run were planned operations. */
	readonly isPlanned: boolean;
};

export type Bounds = {
	/** Maximum number of servers that one idempotent request may reach. */
	readonly maximumAttempts: number;
	/** Time after the acknowledgement in which a draining server may still receive requests. */
	readonly drainMilliseconds: number;
	/** Time from the first response with a limit until it holds. */
	readonly limitContactMilliseconds: number;
	/** Retries that servers may get in any ten seconds: for each request, and in addition. */
	readonly retryRatio: number;
	readonly retrySlack: number;
	/** Time until a stored configuration is active at every node. */
	readonly propagationMilliseconds: number;
	/** Time after a disturbance until the time bounds apply again. */
	readonly settleMilliseconds: number;
	/** How long after its deadline a request may end. */
	readonly overdueMilliseconds: number;
	readonly deadlineMilliseconds: number;
};

const refusedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** A broken connection, and the errors that a node sends in place of a server's response. */
const cutStatuses: ReadonlySet<number> = new Set([0, 500, 502, 504]);
const notFoundStatus = 404;
const retryWindowMilliseconds = 10_000;
const retryStepMilliseconds = 250;
const limitWindowMilliseconds = 4000;
const limitTolerance = 1.5;
const limitSlack = 5;

/**
 * Finds every violation of the guarantees.
 *
 * @param evidence what callers and servers recorded
 * @param bounds the guaranteed limits
 * @returns one line for each violation
 */
export function findViolations(evidence: Evidence, bounds: Bounds): string[] {
	const runsByRequest = groupRuns(evidence.runs);
	return [
		...evidence.requests.flatMap(request => checkResponse(request)),
		...evidence.requests.flatMap(request =>
			checkRuns(request, runsByRequest.get(request.id) ?? [], bounds),
		),
		...checkRetries(evidence, bounds),
		...checkDrains(evidence, bounds),
		...checkLimits(evidence, bounds),
		...checkConfiguration(evidence, bounds),
		...checkPlannedWork(evidence, runsByRequest),
		...checkDeadline(evidence, bounds),
	];
}

function groupRuns(runs: readonly ServerRun[]): ReadonlyMap<string, ServerRun[]> {
	const groups = new Map<string, ServerRun[]>();
	for (const run of runs) {
		const group = groups.get(run.id) ?? [];
		group.push(run);
		groups.set(run.id, group);
	}

	return groups;
}

function checkResponse(request: SentRequest): string[] {
	if (request.refusal === 'quarantined') {
		return [`quarantined: ${request.id} is sound and was refused`];
	}

	if (request.status !== 200) {
		return [];
	}

	const isOwn =
		request.answeredId === request.id &&
		request.seal === `seal-${request.id}` &&
		request.body === `answer to ${request.id}`;
	return isOwn ? [] : [`mixed: ${request.id} got "${request.body.slice(0, 60)}"`];
}

function checkRuns(
	request: SentRequest,
	runs: readonly ServerRun[],
	bounds: Bounds,
): string[] {
	const limit = request.idempotent ? bounds.maximumAttempts : 1;
	const findings: string[] = [];
	if (runs.length > limit) {
		findings.push(`twice: ${request.id} ran ${runs.length} times, at most ${limit}`);
	}

	const isReportedNotRun =
		refusedStatuses.has(request.status) || request.outcome === 'not-run';
	if (isReportedNotRun && runs.length > 0) {
		findings.push(`not run: ${request.id} was told ${request.status} and ran`);
	}

	return findings;
}

/** All requests of a run are for one service. */
function checkRetries({requests, runs}: Evidence, bounds: Bounds): string[] {
	const seen = new Set<string>();
	const retries: number[] = [];
	for (const {id, at} of runs.toSorted((left, right) => left.at - right.at)) {
		if (seen.has(id)) {
			retries.push(at);
		}

		seen.add(id);
	}

	const sent = requests.map(({sentAt}) => sentAt);
	const count = (times: readonly number[], from: number): number =>
		times.filter(at => at >= from && at < from + retryWindowMilliseconds).length;
	const findings: string[] = [];
	const last = Math.max(0, ...retries);
	for (let from = 0; from <= last; from += retryStepMilliseconds) {
		const got = count(retries, from);
		const earlier = [0, 0.5, 1].map(share =>
			count(sent, from - share * retryWindowMilliseconds),
		);
		const allowed = bounds.retryRatio * Math.max(...earlier) + bounds.retrySlack;
		if (got > allowed) {
			findings.push(`retries: ${got} from ${from} ms on, ${allowed} allowed`);
		}
	}

	return findings.slice(0, 1);
}

function checkDrains({drains, runs}: Evidence, bounds: Bounds): string[] {
	return drains.flatMap(({server, acknowledgedAt}) =>
		runs
			.filter(
				run =>
					run.server === server && run.at > acknowledgedAt + bounds.drainMilliseconds,
			)
			.map(
				({id, at}) =>
					`leaving: ${server} got ${id} ${at - acknowledgedAt} ms after its word`,
			),
	);
}

/** What a server may get in any window: one and a half times its limit, and a few requests more. */
function countAllowed(requestsPerSecond: number): number {
	return (
		(limitTolerance * requestsPerSecond * limitWindowMilliseconds) / 1000 + limitSlack
	);
}

function checkLimits({limits, runs}: Evidence, bounds: Bounds): string[] {
	return limits.flatMap(({server, requestsPerSecond, from, until}) => {
		const times = runs
			.filter(run => run.server === server)
			.map(({at}) => at)
			.filter(at => at >= from + bounds.limitContactMilliseconds && at <= until);
		const counts = times.map(
			start =>
				times.filter(at => at >= start && at < start + limitWindowMilliseconds).length,
		);
		const most = Math.max(0, ...counts);
		return most > countAllowed(requestsPerSecond)
			? [`limit: ${server} names ${requestsPerSecond} a second and got ${most}`]
			: [];
	});
}

function checkConfiguration(evidence: Evidence, bounds: Bounds): string[] {
	const findings: string[] = [];
	const highestSeen = new Map<string, {version: number; at: number}>();
	const storedAt = new Map(evidence.versions.map(({version, at}) => [version, at]));
	for (const request of evidence.requests.toSorted((a, b) => a.endedAt - b.endedAt)) {
		const nodeProcess = `${request.node}/${request.restartCount}`;
		const seen = highestSeen.get(nodeProcess);
		const {sinceVersion, status, sentAt, id} = request;
		if (status === 200 && sinceVersion > (seen?.version ?? 0)) {
			highestSeen.set(nodeProcess, {version: sinceVersion, at: request.endedAt});
		}

		if (status !== notFoundStatus) {
			continue;
		}

		if (seen && seen.version >= sinceVersion && sentAt > seen.at) {
			findings.push(
				`back: node ${nodeProcess} denied ${id} after serving ${seen.version}`,
			);
		}

		const since = storedAt.get(sinceVersion);
		const isDue = since !== undefined && sentAt > since + bounds.propagationMilliseconds;
		if (isDue && isUndisturbed(evidence, request, bounds)) {
			findings.push(
				`behind: node ${nodeProcess} denied ${id} ${sentAt - since} ms after storing`,
			);
		}
	}

	return findings;
}

/** If all faults of a run are planned, no request that a server has started may be cut off. */
function checkPlannedWork(
	{requests, isPlanned}: Evidence,
	runsByRequest: ReadonlyMap<string, readonly ServerRun[]>,
): string[] {
	return isPlanned
		? requests
				.filter(({status, id}) => cutStatuses.has(status) && runsByRequest.has(id))
				.map(({id, status}) => `cut: ${id} ran and ended with ${status}`)
		: [];
}

function checkDeadline(evidence: Evidence, bounds: Bounds): string[] {
	const limit = bounds.deadlineMilliseconds + bounds.overdueMilliseconds;
	return evidence.requests
		.filter(
			request =>
				request.endedAt - request.sentAt > limit &&
				isUndisturbed(evidence, request, bounds),
		)
		.map(({id, sentAt, endedAt}) => `held: ${id} ended after ${endedAt - sentAt} ms`);
}

function isUndisturbed(
	{disturbances}: Evidence,
	{node, sentAt, endedAt}: SentRequest,
	{settleMilliseconds}: Bounds,
): boolean {
	return !disturbances.some(
		({from, until, target}) =>
			(target === undefined || target === node) &&
			from <= endedAt &&
			until + settleMilliseconds >= sentAt,
	);
}
