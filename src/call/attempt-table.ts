/**
 * The attempts known to a gate. The table tells an ingress that lost contact whether an attempt
 * was dispatched to the server or still can be. Cancelling an attempt that has not arrived
 * leaves a tombstone, so that its late arrival is refused.
 *
 * The size is bounded without a clock. Settled attempts are evicted oldest first, and the floor
 * of their ingress rises to the evicted sequence number: an unknown attempt at or below the floor
 * is refused, and cancelling one proves nothing. When a whole ingress is evicted, its highest
 * sequence number raises a floor that applies to every ingress not in the table.
 *
 * All functions update the table in place; they run once or twice for every call.
 */
import type {AttemptId} from './attempt.js';

export const attemptStates = {
	/** Admitted and not yet dispatched to the server. */
	queued: 'queued',
	/** Dispatched to the server. */
	dispatched: 'dispatched',
	/** Answered or aborted after it was dispatched. */
	finished: 'finished',
	/** Removed from the queue before it was dispatched; it never will be. */
	withdrawn: 'withdrawn',
	/** Cancelled before it arrived; refused on arrival. */
	tombstoned: 'tombstoned',
} as const;

export type AttemptState = (typeof attemptStates)[keyof typeof attemptStates];

export const admissionResults = {
	admitted: 'admitted',
	/** Already cancelled: not run. */
	tombstoned: 'tombstoned',
	/** At or below the floor, so it may have been cancelled: not run. */
	belowFloor: 'below-floor',
	/** The table is full and every ingress in it has attempts in flight: not run. */
	tableFull: 'table-full',
	/** The attempt is already known: this copy is dropped, and the result of the first one counts. */
	duplicate: 'duplicate',
} as const;

export type AdmissionResult = (typeof admissionResults)[keyof typeof admissionResults];

export const cancellationResults = {
	/** It was never dispatched to the server and never will be: not run. */
	neverDispatched: 'never-dispatched',
	/** It was queued, and the gate must now remove it from the queue: not run. */
	withdrawn: 'withdrawn',
	/** The server is processing it. */
	dispatched: 'dispatched',
	/** It was dispatched to the server and has ended. */
	finished: 'finished',
	/** No longer in the table: proves nothing. */
	forgotten: 'forgotten',
} as const;

export type CancellationResult =
	(typeof cancellationResults)[keyof typeof cancellationResults];

export type AttemptTableLimits = {
	/** Maximum number of settled attempts kept, over all ingresses. */
	readonly settledAttempts: number;
	/** Maximum number of ingresses kept. */
	readonly ingresses: number;
};

export const defaultAttemptTableLimits: AttemptTableLimits = {
	settledAttempts: 4096,
	ingresses: 2048,
};

type IngressAttempts = {
	floor: number;
	highest: number;
	inFlight: number;
	readonly states: Map<number, AttemptState>;
};

/** The attempts known to one gate; owned by one task, not shared. */
export type AttemptTable = {
	readonly limits: AttemptTableLimits;
	/** Least recently used first. */
	readonly ingresses: Map<string, IngressAttempts>;
	/** Oldest first; entries of evicted ingresses stay until they are the oldest. */
	readonly settled: Set<AttemptId>;
	/** Applies to every ingress that is not in `ingresses`. */
	unknownIngressFloor: number;
};

/**
 * Creates an empty table.
 *
 * @param limits bounds on its size
 * @returns the table
 */
export function createAttemptTable(
	limits: AttemptTableLimits = defaultAttemptTableLimits,
): AttemptTable {
	return {limits, ingresses: new Map(), settled: new Set(), unknownIngressFloor: 0};
}

/**
 * Admits or refuses an attempt that has arrived at the gate.
 *
 * @param table updated in place
 * @param id the attempt
 * @returns `admitted` if it may wait for the server, otherwise why it is refused
 */
export function admitAttempt(table: AttemptTable, id: AttemptId): AdmissionResult {
	const attempts = findOrAddIngress(table, id);
	if (!attempts) {
		return id.sequence <= table.unknownIngressFloor
			? admissionResults.belowFloor
			: admissionResults.tableFull;
	}

	const state = attempts.states.get(id.sequence);
	if (state === attemptStates.tombstoned) {
		return admissionResults.tombstoned;
	}

	if (state !== undefined) {
		return admissionResults.duplicate;
	}

	if (id.sequence <= attempts.floor) {
		return admissionResults.belowFloor;
	}

	attempts.states.set(id.sequence, attemptStates.queued);
	attempts.highest = Math.max(attempts.highest, id.sequence);
	attempts.inFlight += 1;
	return admissionResults.admitted;
}

/**
 * Marks a queued attempt as dispatched. The gate must call it before writing to the server.
 *
 * @param table updated in place
 * @param id the attempt
 * @returns false if the attempt is not queued and must not be dispatched
 */
export function dispatchAttempt(table: AttemptTable, id: AttemptId): boolean {
	const attempts = table.ingresses.get(id.ingress);
	if (attempts?.states.get(id.sequence) !== attemptStates.queued) {
		return false;
	}

	attempts.states.set(id.sequence, attemptStates.dispatched);
	return true;
}

/**
 * Settles an attempt that has ended: answered, aborted, or removed from the queue.
 *
 * @param table updated in place
 * @param id the attempt
 */
export function finishAttempt(table: AttemptTable, id: AttemptId): void {
	const state = table.ingresses.get(id.ingress)?.states.get(id.sequence);
	if (state === attemptStates.dispatched) {
		settle(table, id, attemptStates.finished);
	} else if (state === attemptStates.queued) {
		settle(table, id, attemptStates.withdrawn);
	}
}

/**
 * Cancels an attempt for the ingress that sent it.
 *
 * @param table updated in place
 * @param id the attempt
 * @returns what is proven about whether it ran
 */
export function cancelAttempt(table: AttemptTable, id: AttemptId): CancellationResult {
	const attempts = findOrAddIngress(table, id);
	if (!attempts) {
		return cancellationResults.forgotten;
	}

	const state = attempts.states.get(id.sequence);
	switch (state) {
		case attemptStates.queued: {
			settle(table, id, attemptStates.withdrawn);
			return cancellationResults.withdrawn;
		}

		case attemptStates.dispatched: {
			return cancellationResults.dispatched;
		}

		case attemptStates.finished: {
			return cancellationResults.finished;
		}

		case attemptStates.withdrawn:
		case attemptStates.tombstoned: {
			return cancellationResults.neverDispatched;
		}

		case undefined: {
			return cancelUnknown(table, attempts, id);
		}
	}
}

function cancelUnknown(
	table: AttemptTable,
	attempts: IngressAttempts,
	id: AttemptId,
): CancellationResult {
	if (id.sequence <= attempts.floor) {
		return cancellationResults.forgotten;
	}

	attempts.highest = Math.max(attempts.highest, id.sequence);
	attempts.inFlight += 1;
	settle(table, id, attemptStates.tombstoned);
	return cancellationResults.neverDispatched;
}

/** Finds or adds the ingress; undefined if the attempt is below the floor or the table is full. */
function findOrAddIngress(
	table: AttemptTable,
	id: AttemptId,
): IngressAttempts | undefined {
	const known = table.ingresses.get(id.ingress);
	if (known) {
		table.ingresses.delete(id.ingress);
		table.ingresses.set(id.ingress, known);
		return known;
	}

	if (id.sequence <= table.unknownIngressFloor || !ensureIngressCapacity(table)) {
		return undefined;
	}

	const attempts: IngressAttempts = {
		floor: table.unknownIngressFloor,
		highest: table.unknownIngressFloor,
		inFlight: 0,
		states: new Map(),
	};
	table.ingresses.set(id.ingress, attempts);
	return attempts;
}

function ensureIngressCapacity(table: AttemptTable): boolean {
	if (table.ingresses.size < table.limits.ingresses) {
		return true;
	}

	for (const [ingress, attempts] of table.ingresses) {
		if (attempts.inFlight === 0) {
			table.ingresses.delete(ingress);
			table.unknownIngressFloor = Math.max(table.unknownIngressFloor, attempts.highest);
			return true;
		}
	}

	return false;
}

function settle(table: AttemptTable, id: AttemptId, state: AttemptState): void {
	const attempts = table.ingresses.get(id.ingress);
	if (!attempts) {
		return;
	}

	attempts.states.set(id.sequence, state);
	attempts.inFlight -= 1;
	table.settled.add(id);
	if (table.settled.size > table.limits.settledAttempts) {
		evictOldest(table);
	}
}

function evictOldest(table: AttemptTable): void {
	const oldest = table.settled.values().next();
	if (oldest.done) {
		return;
	}

	const id = oldest.value;
	table.settled.delete(id);
	const attempts = table.ingresses.get(id.ingress);
	if (attempts?.states.delete(id.sequence)) {
		attempts.floor = Math.max(attempts.floor, id.sequence);
	}
}
