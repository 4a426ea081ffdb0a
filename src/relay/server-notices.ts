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
	/** Requests a second that the server takes; infinite if it names no limit. */
	readonly requestsPerSecond: () => number;
	readonly record: (
		notice: ServerNotice,
		source: NoticeSource,
		serverId: string | undefined,
	) => void;
	/** Forgets what an earlier server process stated. */
	readonly reset: () => void;
};

/**
 * Creates the notices of a server that has stated nothing yet.
 *
 * @param log the log of changes
 * @returns the notices
 */
export function createServerNotices(log: Logger): ServerNotices {
	let requestsPerSecond = Number.POSITIVE_INFINITY;
	return {
		requestsPerSecond: () => requestsPerSecond,
		record(notice, source, serverId) {
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
		},
		reset() {
			requestsPerSecond = Number.POSITIVE_INFINITY;
		},
	};
}
