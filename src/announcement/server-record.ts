/**
 * What a node believes of the server beside it, from the server's own announcements. They may
 * come late, twice or out of order, and from an earlier life at the same address: a later start
 * goes before an earlier one, and within one life a higher sequence before a lower one. An
 * announcement for another address or service is not this server's and changes nothing.
 */

export const serverStates = {
	ready: 'ready',
	/** Finishes what it has; nothing new may reach it. */
	draining: 'draining',
	/** Has said that it ends. */
	gone: 'gone',
} as const;

export type ServerState = (typeof serverStates)[keyof typeof serverStates];

/** What a server says of itself. */
export type ServerAnnouncement = {
	readonly id: string;
	readonly address: string;
	readonly service: string;
	/** Requests that it runs at once. */
	readonly slots: number;
	readonly state: ServerState;
	/** Rises with each announcement of one life. */
	readonly sequence: number;
	/** How much longer it stays slow after its start. */
	readonly warmupMilliseconds: number;
	/** Wall-clock milliseconds of its start; undefined where it does not say. */
	readonly startedAt: number | undefined;
};

/** What is believed of the server. */
export type ServerRecord = ServerAnnouncement & {
	/** Monotonic milliseconds at which it was last heard. */
	readonly heardAt: number;
};

/** Where the server beside the node has to stand. */
export type ExpectedServer = {
	readonly address: string;
	readonly service: string;
};

export const announcementVerdicts = {
	accepted: 'taken',
	/** Of an earlier life, or overtaken by a later announcement. */
	outdated: 'outdated',
	/** Of another server. */
	foreign: 'foreign',
} as const;

export type AnnouncementVerdict =
	(typeof announcementVerdicts)[keyof typeof announcementVerdicts];

/**
 * Judges an announcement.
 *
 * @param current what is believed so far
 * @param announcement what arrived
 * @param expected where the server beside the node has to stand
 * @returns whether the announcement replaces what is believed
 */
export function evaluateAnnouncement(
	current: ServerRecord | undefined,
	announcement: ServerAnnouncement,
	expected: ExpectedServer,
): AnnouncementVerdict {
	const isHere =
		announcement.address === expected.address &&
		announcement.service === expected.service;
	if (!isHere) {
		return announcementVerdicts.foreign;
	}

	if (current === undefined) {
		return announcementVerdicts.accepted;
	}

	const heldStart = current.startedAt ?? 0;
	const start = announcement.startedAt ?? heldStart;
	if (start !== heldStart) {
		return start > heldStart
			? announcementVerdicts.accepted
			: announcementVerdicts.outdated;
	}

	if (current.id !== announcement.id) {
		return announcementVerdicts.accepted;
	}

	return announcement.sequence > current.sequence
		? announcementVerdicts.accepted
		: announcementVerdicts.outdated;
}

/**
 * Judges a farewell. It names only an id, so it ends the life that carries this id.
 *
 * @param held what is believed so far
 * @param id the id that says goodbye
 * @returns what is believed after it; undefined when the farewell is another server's
 */
export function markServerGone(
	held: ServerRecord | undefined,
	id: string,
): ServerRecord | undefined {
	return held?.id === id ? {...held, state: serverStates.gone} : undefined;
}
