/**
 * Quarantine of requests that may crash the servers that run them. Every request in flight at a
 * crash becomes a suspect. A suspect runs alone at a gate, so that a second crash proves it the
 * cause; a proven request is refused. One successful run clears a suspect. Entries expire, and
 * their number is bounded; suspects are evicted before proven requests.
 *
 * Merging the statuses announced by other nodes does not depend on their order. The functions
 * change the state in place.
 */

export const quarantineStatuses = {
	/** Was in flight at a crash: must run alone. */
	suspect: 'suspect',
	/** Crashed a server while running alone: is refused. */
	proven: 'proven',
} as const;

export type QuarantineStatus =
	(typeof quarantineStatuses)[keyof typeof quarantineStatuses];

type Entry = {
	readonly status: QuarantineStatus;
	/** Monotonic milliseconds. */
	readonly expiresAt: number;
};

export type QuarantineLimits = {
	readonly entries: number;
	readonly suspectMilliseconds: number;
	readonly provenMilliseconds: number;
};

/** The quarantine as known to one node; owned by one task. */
export type Quarantine = {
	readonly limits: QuarantineLimits;
	/** Entries by digest of the request, oldest first. */
	readonly entries: Map<string, Entry>;
};

export const defaultQuarantineLimits: QuarantineLimits = {
	entries: 512,
	suspectMilliseconds: 60_000,
	provenMilliseconds: 600_000,
};

/**
 * Creates an empty quarantine.
 *
 * @param limits bounds of the quarantine
 * @returns the quarantine
 */
export function createQuarantine(
	limits: QuarantineLimits = defaultQuarantineLimits,
): Quarantine {
	return {limits, entries: new Map()};
}

/**
 * Finds the status of a request.
 *
 * @param quarantine changed in place: an expired entry is removed
 * @param digest digest of the request
 * @param now monotonic milliseconds
 * @returns the status, or `undefined` if the request is not in quarantine
 */
export function findQuarantineStatus(
	quarantine: Quarantine,
	digest: string,
	now: number,
): QuarantineStatus | undefined {
	const entry = quarantine.entries.get(digest);
	if (entry === undefined) {
		return undefined;
	}

	if (now >= entry.expiresAt) {
		quarantine.entries.delete(digest);
		return undefined;
	}

	return entry.status;
}

/**
 * Records a status, from a crash at this node or an announcement of another. A proven request stays
 * proven until it expires.
 *
 * @param quarantine changed in place
 * @param digest digest of the request
 * @param status the new status
 * @param now monotonic milliseconds
 * @returns whether the status changed and should be announced
 */
export function recordQuarantineStatus(
	quarantine: Quarantine,
	digest: string,
	status: QuarantineStatus,
	now: number,
): boolean {
	const known = findQuarantineStatus(quarantine, digest, now);
	if (known === quarantineStatuses.proven || known === status) {
		return false;
	}

	const {limits, entries} = quarantine;
	const lifetime =
		status === quarantineStatuses.proven
			? limits.provenMilliseconds
			: limits.suspectMilliseconds;
	entries.delete(digest);
	evictIfFull(quarantine, now);
	entries.set(digest, {status, expiresAt: now + lifetime});
	return true;
}

/**
 * Clears a suspect after a successful run. A proven request is not cleared, since it also ran
 * successfully before.
 *
 * @param quarantine changed in place
 * @param digest digest of the request
 */
export function clearSuspect(quarantine: Quarantine, digest: string): void {
	if (quarantine.entries.get(digest)?.status === quarantineStatuses.suspect) {
		quarantine.entries.delete(digest);
	}
}

function evictIfFull(quarantine: Quarantine, now: number): void {
	const {entries, limits} = quarantine;
	if (entries.size < limits.entries) {
		return;
	}

	for (const [digest, {expiresAt}] of entries) {
		if (now >= expiresAt) {
			entries.delete(digest);
		}
	}

	if (entries.size < limits.entries) {
		return;
	}

	const [oldest] = entries.keys();
	entries.delete(findOldestSuspect(quarantine) ?? oldest!);
}

function findOldestSuspect(quarantine: Quarantine): string | undefined {
	for (const [digest, {status}] of quarantine.entries) {
		if (status === quarantineStatuses.suspect) {
			return digest;
		}
	}

	return undefined;
}
