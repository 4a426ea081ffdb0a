/**
 * What the local server states about itself in its responses, as last read. Each change is logged
 * with the kind of response that showed it.
 */
import type {Logger} from '../log/index.js';
import type {ServerNotice} from './platform-protocol.js';

/** Responses in which a server states something about itself. */
export const noticeSources = {
	/** The response to a request. */
	response: 'response',
	/** The response of the health path. */
	health: 'health',
} as const;

export type NoticeSource = (typeof noticeSources)[keyof typeof noticeSources];

export type ServerNotices = {
	readonly record: (
		notice: ServerNotice,
		source: NoticeSource,
		serverId: string | undefined,
	) => void;
	/** Forgets what an earlier server process stated. */
	readonly reset: () => void;
};

export type ServerNoticesOptions = {
	readonly log: Logger;
	/** Called when the server names another limit on its request rate; infinite for none. */
	readonly onRequestRate: (requestsPerSecond: number) => void;
	/** Called once when the server states that it leaves. */
	readonly onLeaving: () => void;
};

/**
 * Creates the notices of a server that has stated nothing yet.
 *
 * @param options the log, and what to call on changes
 * @returns the notices
 */
export function createServerNotices(options: ServerNoticesOptions): ServerNotices {
	const {log} = options;
	let requestsPerSecond = Number.POSITIVE_INFINITY;
	let isLeaving = false;
	return {
		record(notice, source, serverId) {
			if (notice.isLeaving && !isLeaving) {
				isLeaving = true;
				log.info('server leaving', {server: serverId, source});
				options.onLeaving();
			}

			const stated = notice.requestsPerSecond;
			if (stated === undefined) {
				log.warn('server limit unreadable', {server: serverId, source});
				return;
			}

			if (stated === requestsPerSecond) {
				return;
			}

			log.info('server limit changed', {
				server: serverId,
				source,
				requestsPerSecond: stated,
				before: requestsPerSecond,
			});
			requestsPerSecond = stated;
			options.onRequestRate(stated);
		},
		reset() {
			isLeaving = false;
			requestsPerSecond = Number.POSITIVE_INFINITY;
		},
	};
}
