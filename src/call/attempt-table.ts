/**
 * The attempts that a gate knows. The table answers one question for an ingress that lost
 * contact: was this attempt handed to the server, and can it still be? A cancelled attempt that
 * has not arrived leaves a tombstone, so that its late arrival is refused.
 *
 * The table is bounded without a clock. Settled attempts are forgotten oldest first, and the
 * floor of their ingress rises to the forgotten number: an unknown attempt at or below the floor
 * is refused, and a cancellation of one proves nothing. When an ingress is forgotten as a whole,
 * its highest number goes into a floor that holds for every ingress the table does not know.
 *
 * All functions update the table in place; they run once or twice for every call.
 */
import type {AttemptId} from './attempt.js';

export const attemptStates = {
	/** Admitted and not yet handed to the server. */
	queued: 'queued',
	/** Handed to the server. */
	dispatched: 'dispatched',
	/** Answered, or given up after it was handed to the server. */
	finished: 'finished',
	/** Left the queue without being handed to the server, and never will be. */
	withdrawn: 'withdrawn',
	/** Cancelled before it arrived; refused when it does. */
	tombstoned: 'tombstoned',
} as const;

export type AttemptState = (typeof attemptStates)[keyof typeof attemptStates];

export const admissionResults = {
	admitted: 'admitted',
	/** Cancelled before: not run. */
	tombstoned: 'tombstoned',
	/** Too old to tell from a cancelled one: not run. */
	belowFloor: 'below-floor',
	/** Every known ingress has attempts in flight and there is no room for another: not run. */
	tableFull: 'table-full',
	/** The same attempt is known already: this copy is dropped, the first one decides. */
	duplicate: 'duplicate',
} as const;

export type AdmissionResult = (typeof admissionResults)[keyof typeof admissionResults];

export const cancellationResults = {
	/** It never was handed to the server and never will be: not run. */
	neverDispatched: 'never-dispatched',
	/** It waited in the queue and must be taken out of it now: not run. */
	withdrawn: 'withdrawn',
	/** The server has it. */
	dispatched: 'dispatched',
	/** The server had it, and it is over. */
	finished: 'finished',
	/** Too old to know: proves nothing. */
	forgotten: 'forgotten',
} as const;

export type CancellationResult =
	(typeof cancellationResults)[keyof typeof cancellationResults];

export type AttemptTableLimits = {
	/** Settled attempts that the table remembers, of all ingresses together. */
	readonly settledAttempts: number;
	/** Ingresses that the table remembers. */
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

/** The attempts known to one gate; owned by one task. */
export type AttemptTable = {
	readonly limits: AttemptTableLimits;
	/** Least recently used first. */
	readonly ingresses: Map<string, IngressAttempts>;
	/** Oldest first; entries of forgotten ingresses stay until their turn. */
	readonly settled: Set<AttemptId>;
	/** Holds for every ingress that is not in `ingresses`. */
	unknownIngressFloor: number;
};

/**
 * Creates an empty table.
 *
 * @param limits how much it remembers
 * @returns the table
 */
export function createAttemptTable(
	limits: AttemptTableLimits = defaultAttemptTableLimits,
): AttemptTable {
	return {limits, ingresses: new Map(), settled: new Set(), unknownIngressFloor: 0};
}

/**
 * Takes in an attempt that has arrived at the gate.
 *
 * @param table updated in place
 * @param id the attempt
 * @returns whether it may wait for the server, or why it is refused
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
 * Asks leave to hand an attempt to the server. The gate writes nothing to the server before.
 *
 * @param table updated in place
 * @param id the attempt
 * @returns false when it was withdrawn and must not be handed on
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
 * Settles an attempt that is over: answered, broken off, or refused out of the queue.
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
 * @returns what is proven about it
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

/** Finds the ingress or makes room for it; nothing when it is too old or there is no room. */
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

	if (id.sequence <= table.unknownIngressFloor || !evictIdleIngress(table)) {
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

function evictIdleIngress(table: AttemptTable): boolean {
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
		forgetOldest(table);
	}
}

function forgetOldest(table: AttemptTable): void {
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
