/**
 * Servers that have announced that they leave. Their node has acknowledged this and is bound by it, also after
 * a restart, while they go on answering and delayed announcements still say that they are ready. So the
 * node tells the others, and learns it from them when it starts again.
 */
import type {ServerProcess} from '../announcement/index.js';
import type {Membership} from '../membership/index.js';

export type LeavingServersMembership = Pick<
	Membership,
	'announce' | 'announcements' | 'onAnnouncement' | 'all'
>;

export type LeavingServersOptions = {
	/** Called when another node told of a server that leaves. */
	readonly onLearned: () => void;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Resolves after a time in milliseconds. */
	readonly sleep: (milliseconds: number) => Promise<unknown>;
};

export type LeavingServers = {
	readonly isLeaving: (server: ServerProcess) => boolean;
	/** Records a server that leaves, and tells the other nodes. */
	readonly record: (server: ServerProcess) => void;
	/** Resolves once some other node probably knows of all servers that leave. */
	readonly passedOn: () => Promise<void>;
	/** Shares the servers that leave with the other nodes from now on. */
	readonly attach: (membership: LeavingServersMembership) => void;
};

/** Followed by the start of the server and its id. */
const announcementPrefix = 'leaving:';
const announcementPattern = /^leaving:(?<start>\d*):(?<id>.+)$/v;
/** Longer than servers go on answering, and than their announcements are delayed. */
const lifetimeMilliseconds = 120_000;
/** Two intervals of gossip, each to several nodes. */
const passingOnMilliseconds = 250;
const noPayload = new Uint8Array(0);

/**
 * Creates an empty list of servers.
 *
 * @param options what to call when the list has grown, and the clock
 * @returns the list
 */
export function createLeavingServers(options: LeavingServersOptions): LeavingServers {
	/** Servers that leave, by the id of their announcement, with the time at which to forget them. */
	const known = new Map<
		string,
		{readonly server: ServerProcess; readonly until: number}
	>();
	let membership: LeavingServersMembership | undefined;
	let passing: Promise<unknown> = Promise.resolve();

	/** Returns whether the server was not known. */
	function add(server: ServerProcess): boolean {
		const now = options.now();
		for (const [id, {until}] of known) {
			if (until <= now) {
				known.delete(id);
			}
		}

		const id = formatId(server);
		const isNew = !known.has(id);
		if (isNew) {
			known.set(id, {server, until: now + lifetimeMilliseconds});
		}

		return isNew;
	}

	function announce(server: ServerProcess): void {
		membership?.announce(formatId(server), noPayload, lifetimeMilliseconds);
	}

	function learn(id: string): void {
		const server = parseId(id);
		if (server !== undefined && add(server)) {
			options.onLearned();
		}
	}

	return {
		isLeaving: ({id, startedAt}) =>
			[...known.values()].some(
				({server}) =>
					server.id === id &&
					(server.startedAt === startedAt ||
						server.startedAt === undefined ||
						startedAt === undefined),
			),
		record(server) {
			if (add(server)) {
				announce(server);
				passing = options.sleep(passingOnMilliseconds);
			}
		},
		async passedOn() {
			if (membership !== undefined && membership.all().length > 1) {
				await passing;
			}
		},
		attach(joined) {
			membership = joined;
			for (const {server} of known.values()) {
				announce(server);
			}

			joined.onAnnouncement(learn);
			for (const id of joined.announcements()) {
				learn(id);
			}
		},
	};
}

function formatId({id, startedAt}: ServerProcess): string {
	return `${announcementPrefix}${startedAt ?? ''}:${id}`;
}

/** Undefined for announcements of another kind. */
function parseId(announcement: string): ServerProcess | undefined {
	const {start, id} = announcementPattern.exec(announcement)?.groups ?? {};
	if (start === undefined || id === undefined) {
		return undefined;
	}

	return {id, startedAt: start === '' ? undefined : Number(start)};
}
