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
	/** Whether the current server process has stated anything yet. */
	readonly isKnown: () => boolean;
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
	/** Called after the first notice of a server process. */
	readonly onFirstNotice: () => void;
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
	let isKnown = false;
	let isRateReadable = true;

	function recordRequestRate(
		stated: number | undefined,
		source: NoticeSource,
		serverId: string | undefined,
	): void {
		if (stated === undefined && isRateReadable) {
			log.warn('server limit unreadable', {server: serverId, source});
		}

		isRateReadable = stated !== undefined;
		if (stated === undefined || stated === requestsPerSecond) {
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
	}

	return {
		isKnown: () => isKnown,
		record(notice, source, serverId) {
			if (notice.isLeaving && !isLeaving) {
				isLeaving = true;
				log.info('server leaving', {server: serverId, source});
				options.onLeaving();
			}

			recordRequestRate(notice.requestsPerSecond, source, serverId);
			if (!isKnown) {
				isKnown = true;
				options.onFirstNotice();
			}
		},
		reset() {
			isLeaving = false;
			isKnown = false;
			isRateReadable = true;
			requestsPerSecond = Number.POSITIVE_INFINITY;
		},
	};
}
