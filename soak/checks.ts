/**
 * The promises that a run is checked for, from what callers and servers saw. Pure, so that each
 * check can be shown to find a planted fault.
 */

/** A request as its caller saw it. */
export type SentRequest = {
	readonly id: string;
	readonly node: number;
	readonly idempotent: boolean;
	/** Milliseconds of the run's clock, as are all times here. */
	readonly sentAt: number;
	readonly endedAt: number;
	/** 0 when the connection broke before a whole answer. */
	readonly status: number;
	/** Name of the request that the answer says it belongs to. */
	readonly answeredId: string | undefined;
	readonly seal: string | undefined;
	readonly body: string;
	/** What the node says of the request: ran, not-run or unknown. */
	readonly outcome: string | undefined;
	/** Version of the configuration that first had the route; 0 for the first. */
	readonly sinceVersion: number;
	/** Life of the node that took it. */
	readonly life: number;
};

/** A request as a server saw it. */
export type ServerRun = {
	readonly id: string;
	readonly server: string;
	readonly at: number;
};

/** A server whose leaving was acknowledged. */
export type ServerDrain = {readonly server: string; readonly acknowledgedAt: number};

/** A configuration that the store has taken. */
export type StoredVersion = {readonly version: number; readonly at: number};

/** A span in which something at a place was disturbed; the target is undefined for all. */
export type Disturbance = {
	readonly from: number;
	/** Infinite while it lasts. */
	until: number;
	readonly target: number | undefined;
};

export type Evidence = {
	readonly requests: readonly SentRequest[];
	readonly runs: readonly ServerRun[];
	readonly drains: readonly ServerDrain[];
	readonly versions: readonly StoredVersion[];
	readonly disturbances: readonly Disturbance[];
	/** Whether all faults of the run were planned work. */
	readonly isPlanned: boolean;
};

export type Bounds = {
	/** Servers that one request may reach. */
	readonly maximumAttempts: number;
	/** Time after the acknowledgement in which a leaving server may still get work. */
	readonly drainMilliseconds: number;
	/** Time in which a configuration is in force everywhere. */
	readonly propagationMilliseconds: number;
	/** Time without disturbance after which bounds in time hold. */
	readonly settleMilliseconds: number;
	/** Time past its deadline at which a request still waits for its end. */
	readonly overdueMilliseconds: number;
	readonly deadlineMilliseconds: number;
};

const refusedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** A broken connection, and the answers that a node gives in place of a server's. */
const cutStatuses: ReadonlySet<number> = new Set([0, 500, 502, 504]);
const notFoundStatus = 404;

/**
 * Finds every broken promise.
 *
 * @param evidence what callers and servers saw
 * @param bounds the stated bounds
 * @returns one line for each finding
 */
export function findViolations(evidence: Evidence, bounds: Bounds): string[] {
	const runsOf = groupRuns(evidence.runs);
	return [
		...evidence.requests.flatMap(request => checkAnswer(request)),
		...evidence.requests.flatMap(request =>
			checkRuns(request, runsOf.get(request.id) ?? [], bounds),
		),
		...checkLeaving(evidence, bounds),
		...checkConfiguration(evidence, bounds),
		...checkPlannedWork(evidence, runsOf),
		...checkHeld(evidence, bounds),
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

function checkAnswer(request: SentRequest): string[] {
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
	const most = request.idempotent ? bounds.maximumAttempts : 1;
	const findings: string[] = [];
	if (runs.length > most) {
		findings.push(`twice: ${request.id} ran ${runs.length} times, at most ${most}`);
	}

	const isDenied = refusedStatuses.has(request.status) || request.outcome === 'not-run';
	if (isDenied && runs.length > 0) {
		findings.push(`not run: ${request.id} was told ${request.status} and ran`);
	}

	return findings;
}

function checkLeaving({drains: leavings, runs}: Evidence, bounds: Bounds): string[] {
	return leavings.flatMap(({server, acknowledgedAt}) =>
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

function checkConfiguration(evidence: Evidence, bounds: Bounds): string[] {
	const findings: string[] = [];
	const highest = new Map<string, {version: number; at: number}>();
	const storedAt = new Map(evidence.versions.map(({version, at}) => [version, at]));
	for (const request of evidence.requests.toSorted((a, b) => a.endedAt - b.endedAt)) {
		const life = `${request.node}/${request.life}`;
		const seen = highest.get(life);
		const {sinceVersion, status, sentAt, id} = request;
		if (status === 200 && sinceVersion > (seen?.version ?? 0)) {
			highest.set(life, {version: sinceVersion, at: request.endedAt});
		}

		if (status !== notFoundStatus) {
			continue;
		}

		if (seen && seen.version >= sinceVersion && sentAt > seen.at) {
			findings.push(`back: node ${life} denied ${id} after serving ${seen.version}`);
		}

		const since = storedAt.get(sinceVersion);
		const isDue = since !== undefined && sentAt > since + bounds.propagationMilliseconds;
		if (isDue && isUndisturbed(evidence, request, bounds)) {
			findings.push(
				`behind: node ${life} denied ${id} ${sentAt - since} ms after storing`,
			);
		}
	}

	return findings;
}

/** Planned work alone cuts no request that a server has begun. */
function checkPlannedWork(
	{requests, isPlanned}: Evidence,
	runsOf: ReadonlyMap<string, readonly ServerRun[]>,
): string[] {
	return isPlanned
		? requests
				.filter(({status, id}) => cutStatuses.has(status) && runsOf.has(id))
				.map(({id, status}) => `cut: ${id} ran and ended with ${status}`)
		: [];
}

function checkHeld(evidence: Evidence, bounds: Bounds): string[] {
	const most = bounds.deadlineMilliseconds + bounds.overdueMilliseconds;
	return evidence.requests
		.filter(
			request =>
				request.endedAt - request.sentAt > most &&
				isUndisturbed(evidence, request, bounds),
		)
		.map(({id, sentAt, endedAt}) => `held: ${id} ended after ${endedAt - sentAt} ms`);
}

function isUndisturbed(
	{disturbances}: Evidence,
	{node, sentAt, endedAt}: SentRequest,
	{settleMilliseconds: calmMilliseconds}: Bounds,
): boolean {
	return !disturbances.some(
		({from, until, target}) =>
			(target === undefined || target === node) &&
			from <= endedAt &&
			until + calmMilliseconds >= sentAt,
	);
}
