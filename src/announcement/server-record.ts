/**
 * The state of the local server according to its own announcements. These may arrive late, twice or
 * out of order, or come from an earlier server process at the same address. So the process
 * that started last is the current one, and of its announcements the one with the highest sequence
 * number applies. Announcements for another address or service are ignored.
 */

export const serverStates = {
	ready: 'ready',
	/** Finishes its requests and accepts no new ones. */
	draining: 'draining',
	/** Has deregistered. */
	gone: 'gone',
} as const;

export type ServerState = (typeof serverStates)[keyof typeof serverStates];

/** One life of a server; it may start again with the same id. */
export type ServerProcess = {
	readonly id: string;
	/** Wall-clock milliseconds of the server's start; undefined if not given. */
	readonly startedAt: number | undefined;
};

/** An announcement of a server. */
export type ServerAnnouncement = ServerProcess & {
	readonly address: string;
	readonly service: string;
	/** Maximum concurrent requests of the server. */
	readonly slots: number;
	readonly state: ServerState;
	/** Increases with each announcement of a server process. */
	readonly sequence: number;
	/** How long the server is slow after its start. */
	readonly warmupMilliseconds: number;
};

/** The known state of the server. */
export type ServerRecord = ServerAnnouncement & {
	/** Monotonic milliseconds at which it arrived. */
	readonly heardAt: number;
};

/** Address and service of the local server, from the settings. */
export type ExpectedServer = {
	readonly address: string;
	readonly service: string;
};

export const announcementVerdicts = {
	accepted: 'taken',
	/** From an earlier server process, or older than the last accepted announcement. */
	outdated: 'outdated',
	/** From another server. */
	foreign: 'foreign',
} as const;

export type AnnouncementVerdict =
	(typeof announcementVerdicts)[keyof typeof announcementVerdicts];

/**
 * Decides whether an announcement replaces the record.
 *
 * @param current the record so far
 * @param announcement the received announcement
 * @param expected address and service of the local server
 * @returns the verdict
 */
export function evaluateAnnouncement(
	current: ServerRecord | undefined,
	announcement: ServerAnnouncement,
	expected: ExpectedServer,
): AnnouncementVerdict {
	const isExpected =
		announcement.address === expected.address &&
		announcement.service === expected.service;
	if (!isExpected) {
		return announcementVerdicts.foreign;
	}

	if (current === undefined) {
		return announcementVerdicts.accepted;
	}

	const currentStart = current.startedAt ?? 0;
	const start = announcement.startedAt ?? currentStart;
	if (start !== currentStart) {
		return start > currentStart
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
 * Applies an accepted announcement. A server process that leaves does not become ready again: an
 * announcement that says so was sent before, and arrives late.
 *
 * @param current the record so far
 * @param announcement the accepted announcement
 * @param now monotonic time in milliseconds
 * @returns the new record
 */
export function applyAnnouncement(
	current: ServerRecord | undefined,
	announcement: ServerAnnouncement,
	now: number,
): ServerRecord {
	const isLeaving =
		current !== undefined &&
		isSameProcess(current, announcement) &&
		current.state !== serverStates.ready;
	const state = isLeaving ? current.state : announcement.state;
	return {...announcement, state, heardAt: now};
}

/**
 * Tells whether an announcement comes from the server process of the record.
 *
 * @param current the record so far
 * @param announcement an announcement
 * @returns whether id and start are the same
 */
export function isSameProcess(
	current: ServerProcess,
	announcement: ServerProcess,
): boolean {
	return current.id === announcement.id && current.startedAt === announcement.startedAt;
}

/**
 * Marks the server as leaving, by its own statement in a response.
 *
 * @param current the record
 * @returns the record, draining unless the server has already deregistered
 */
export function markServerLeaving(current: ServerRecord): ServerRecord {
	return current.state === serverStates.ready
		? {...current, state: serverStates.draining}
		: current;
}

/**
 * Marks the server as gone. A deregistration may lack the start; then the id alone has to match the record.
 *
 * @param current the record so far
 * @param process the server process that deregisters
 * @returns the new record; undefined if another one deregisters
 */
export function markServerGone(
	current: ServerRecord | undefined,
	process: ServerProcess,
): ServerRecord | undefined {
	const isSameStart =
		current?.startedAt === undefined ||
		process.startedAt === undefined ||
		current.startedAt === process.startedAt;
	return current?.id === process.id && isSameStart
		? {...current, state: serverStates.gone}
		: undefined;
}
