/**
 * Keeps the routes of a node up to date. Every node reads them from the table once, and a few poll
 * the table for changes with one long poll at a time. The others learn of changes through gossip, so
 * that the load on the table does not grow with the number of nodes.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Result} from 'neverthrow';
import type {Logger} from '../log/index.js';
import type {RoutesHolder} from './active-routes.js';

/** Result of reading the routes from the table. */
export type RoutesReading = {
	/** The newest document; undefined if it has not changed or there is none. */
	readonly text: string | undefined;
	/** Position in the table's history at which this was read. */
	readonly position: number;
};

export const routeSourceErrors = {
	/** The table did not answer, or refused for now. */
	unavailable: 'unavailable',
	/** The table no longer has the history after the given position. */
	historyGone: 'history-gone',
} as const;

export type RouteSourceError = {
	readonly kind: (typeof routeSourceErrors)[keyof typeof routeSourceErrors];
	readonly message: string;
};

/** The store that holds the routes. */
export type RouteSource = {
	readonly read: () => Promise<Result<RoutesReading, RouteSourceError>>;
	/** Waits for a change after a position, for a limited time. */
	readonly awaitChange: (
		position: number,
		timeoutMilliseconds: number,
	) => Promise<Result<RoutesReading, RouteSourceError>>;
};

export type RoutesFollowerOptions = {
	readonly source: RouteSource;
	readonly holder: RoutesHolder;
	readonly log: Logger;
	/** Whether this node is currently one of those that poll the table. */
	readonly isPoller: () => boolean;
	/** A number from 0 to below 1. */
	readonly random: () => number;
};

export type RoutesFollower = {readonly close: () => void};

/** Duration of a long poll; half the time for which the table keeps its history. */
const longPollMilliseconds = 15_000;
/** Backoff after a failed read or poll. */
const minimumBackoffMilliseconds = 200;
const maximumBackoffMilliseconds = 2000;
/** How often a node checks whether it is a poller; short compared with the time limit for changes. */
const pollerCheckMilliseconds = 250;

/**
 * Follows the routes until it is closed.
 *
 * @param options the table, the holder and the log
 * @returns the follower
 */
export function followRoutes(options: RoutesFollowerOptions): RoutesFollower {
	const {source, holder, log, random} = options;
	const state = {isClosed: false};
	let isUnavailable = false;
	let failures = 0;

	function recordSuccess(): void {
		failures = 0;
		if (isUnavailable) {
			isUnavailable = false;
			log.info('table regained', {routesVersion: holder.current()?.table.version});
		}
	}

	async function recordFailure(error: RouteSourceError): Promise<void> {
		if (!isUnavailable) {
			isUnavailable = true;
			log.warn('table lost', {
				reason: error.message,
				routesVersion: holder.current()?.table.version,
			});
		}

		const backoff = minimumBackoffMilliseconds * 2 ** Math.min(failures, 8);
		failures += 1;
		const pause = Math.min(maximumBackoffMilliseconds, backoff) * (0.5 + random() / 2);
		await sleep(pause);
	}

	async function readPosition(): Promise<number | undefined> {
		while (!state.isClosed) {
			const reading = await source.read();
			if (reading.isOk()) {
				recordSuccess();
				activate(reading.value.text);
				return reading.value.position;
			}

			await recordFailure(reading.error);
		}

		return undefined;
	}

	async function follow(): Promise<void> {
		let position = await readPosition();
		while (!state.isClosed && position !== undefined) {
			if (!options.isPoller()) {
				await sleep(pollerCheckMilliseconds);
				continue;
			}

			const change = await source.awaitChange(position, longPollMilliseconds);
			if (change.isOk()) {
				recordSuccess();
				activate(change.value.text);
				position = change.value.position;
				continue;
			}

			if (change.error.kind === routeSourceErrors.historyGone) {
				log.info('table history gone', {position});
				position = await readPosition();
				continue;
			}

			await recordFailure(change.error);
		}
	}

	function activate(text: string | undefined): void {
		if (text !== undefined) {
			holder.activate(text, 'table');
		}
	}

	void follow();
	return {
		close() {
			state.isClosed = true;
		},
	};
}
