/**
 * What the node knows of its local server: from the server's announcements, from its responses and
 * from its health path. It decides whether the server gets new requests.
 */
import {
	announcementVerdicts,
	applyAnnouncement,
	evaluateAnnouncement,
	isSameProcess,
	markServerGone,
	markServerLeaving,
	serverStates,
	type AnnouncementVerdict,
	type ExpectedServer,
	type ServerAnnouncement,
	type ServerProcess,
	type ServerRecord,
} from '../announcement/index.js';
import type {Logger} from '../log/index.js';
import type {ColdStatement} from '../waiting/index.js';
import type {ServerHealth, ServerNotice} from './platform-protocol.js';
import {createServerNotices, noticeSources} from './server-notices.js';

export type LocalServerOptions = {
	readonly log: Logger;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	readonly expected: ExpectedServer;
	/** Whether a server process has announced before that it leaves, also to an earlier life of this node. */
	readonly hasAnnouncedLeaving: (server: ServerProcess) => boolean;
	/** Called when a server process leaves. */
	readonly onLeaving: (server: ServerProcess) => void;
	/** Called when another server process has announced itself. */
	readonly onNewProcess: (record: ServerRecord) => void;
	/** Called when the state of the server has changed. */
	readonly onStateChange: () => void;
	/** Called when more of its slots may be used. */
	readonly onSlotsUsable: () => void;
	/** Called when the server names another limit on its request rate; infinite for none. */
	readonly onRequestRate: (requestsPerSecond: number) => void;
	/** Called when the server states whether it is cold. */
	readonly onCold: (statement: ColdStatement) => void;
};

export type LocalServer = {
	/** Undefined until the server is known. */
	readonly record: () => ServerRecord | undefined;
	/** Whether the server is ready and reachable. */
	readonly isAvailable: () => boolean;
	/**
	 * How many of its slots may be used; zero unless it is ready. Before its first response it may have a limit that this node
	 * does not know yet, and gets one request.
	 */
	readonly usableSlots: () => number;
	readonly handleAnnouncement: (announcement: ServerAnnouncement) => AnnouncementVerdict;
	/** Handles the deregistration of a server process; false if it is another server. */
	readonly deregister: (server: ServerProcess) => boolean;
	/** Applies what was learned of servers that leave. */
	readonly applyLeaving: () => void;
	/** Handles the response of the health path. */
	readonly handleHealth: (health: ServerHealth) => void;
	/** Handles what a response to a request that was sent to the server with this id states. */
	readonly handleNotice: (notice: ServerNotice, serverId: string | undefined) => void;
	/** Sends it no new requests for a while. */
	readonly markUnreachable: (reason: string, milliseconds: number) => void;
};

/**
 * Creates the view of a server about which nothing is known yet.
 *
 * @param options address and service of the server, and what to call on changes
 * @returns the local server
 */
export function createLocalServer(options: LocalServerOptions): LocalServer {
	const {log, now, expected} = options;
	let record: ServerRecord | undefined;
	let unreachableUntil = Number.NEGATIVE_INFINITY;
	const notices = createServerNotices({
		log,
		onRequestRate: options.onRequestRate,
		onFirstNotice: options.onSlotsUsable,
		onLeaving() {
			if (record !== undefined) {
				record = markServerLeaving(record);
				options.onLeaving(record);
			}

			options.onStateChange();
		},
	});

	/** A server that leaves does not become ready again, whatever this node had forgotten. */
	function markIfLeaving(current: ServerRecord): ServerRecord {
		return options.hasAnnouncedLeaving(current) ? markServerLeaving(current) : current;
	}

	function handleAnnouncement(announcement: ServerAnnouncement): AnnouncementVerdict {
		const verdict = evaluateAnnouncement(record, announcement, expected);
		if (verdict !== announcementVerdicts.accepted) {
			log.warn('announcement ignored', {verdict, ...announcement, held: record?.id});
			return verdict;
		}

		const previous = record;
		const isNewProcess = previous === undefined || !isSameProcess(previous, announcement);
		record = markIfLeaving(applyAnnouncement(previous, announcement, now()));
		if (record.state !== serverStates.ready) {
			options.onLeaving(record);
		}

		if (isNewProcess) {
			notices.reset();
			options.onNewProcess(record);
		} else {
			const {warmupMilliseconds} = announcement;
			options.onCold({milliseconds: warmupMilliseconds, mayBeLate: true});
		}

		unreachableUntil = Number.NEGATIVE_INFINITY;
		if (isNewProcess || previous.state !== record.state) {
			log.info('server changed', {...announcement, state: record.state});
			options.onStateChange();
		}

		return verdict;
	}

	/** After the node's start, registers the server by its health until it announces itself. */
	function adoptFromHealth({serverId, slots, isHealthy, isLeaving}: ServerHealth): void {
		if (!isHealthy || isLeaving || serverId === undefined || slots === undefined) {
			return;
		}

		handleAnnouncement({
			...expected,
			id: serverId,
			slots,
			state: serverStates.ready,
			sequence: Number.NEGATIVE_INFINITY,
			warmupMilliseconds: 0,
			startedAt: undefined,
		});
	}

	return {
		record: () => record,
		isAvailable: () => record?.state === serverStates.ready && now() >= unreachableUntil,
		usableSlots() {
			if (record?.state !== serverStates.ready) {
				return 0;
			}

			return notices.isKnown() ? record.slots : Math.min(1, record.slots);
		},
		handleAnnouncement,
		deregister(server) {
			const {id} = server;
			const ended = markServerGone(record, server);
			if (ended === undefined && record === undefined) {
				// It is acknowledged, so that it binds this node once it hears of the server.
				log.info('farewell of an unknown server', {id});
				options.onLeaving(server);
				return false;
			}

			if (ended === undefined) {
				log.warn('farewell ignored', {id, held: record?.id});
				return false;
			}

			record = ended;
			options.onLeaving({id, startedAt: record.startedAt ?? server.startedAt});
			log.info('server changed', {id, state: ended.state});
			options.onStateChange();
			return true;
		},
		applyLeaving() {
			const before = record;
			record &&= markIfLeaving(record);
			if (record !== before) {
				log.info('server changed', {id: record?.id, state: record?.state});
				options.onStateChange();
			}
		},
		handleHealth(health) {
			if (record === undefined) {
				adoptFromHealth(health);
			}

			if (health.serverId !== undefined && health.serverId === record?.id) {
				if (health.coldMilliseconds !== undefined) {
					options.onCold({milliseconds: health.coldMilliseconds, mayBeLate: false});
				}

				notices.record(health, noticeSources.health, record.id);
			}
		},
		handleNotice(notice, serverId) {
			if (record !== undefined && serverId === record.id) {
				notices.record(notice, noticeSources.response, serverId);
			}
		},
		markUnreachable(reason, milliseconds) {
			if (now() >= unreachableUntil) {
				log.warn('server unreachable', {server: record?.id, reason});
			}

			unreachableUntil = now() + milliseconds;
		},
	};
}
