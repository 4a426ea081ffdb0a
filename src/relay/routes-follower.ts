/**
 * Keeps the routes of a node up to date: every node reads them from the table once, and a few
 * follow their changes there with one long question at a time. The others learn of a change from
 * those by gossip, so that the calls to the table do not grow with the fleet.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Result} from 'neverthrow';
import type {Logger} from '../log/index.js';
import type {RoutesHolder} from './active-routes.js';

/** What the table says of the routes. */
export type RoutesReading = {
	/** The newest document; undefined when it has not changed, or when there is none. */
	readonly text: string | undefined;
	/** Where in the table's history this was read. */
	readonly position: number;
};

export const routeSourceErrors = {
	/** The table did not answer, or refused for now. */
	unavailable: 'unavailable',
	/** The table no longer has the history that was asked for. */
	historyGone: 'history-gone',
} as const;

export type RouteSourceError = {
	readonly kind: (typeof routeSourceErrors)[keyof typeof routeSourceErrors];
	readonly message: string;
};

/** Where the routes lie. */
export type RouteSource = {
	readonly read: () => Promise<Result<RoutesReading, RouteSourceError>>;
	/** Waits for a change after a position, for at most a time in milliseconds. */
	readonly awaitChange: (
		position: number,
		pollMilliseconds: number,
	) => Promise<Result<RoutesReading, RouteSourceError>>;
};

export type RoutesFollowerOptions = {
	readonly source: RouteSource;
	readonly holder: RoutesHolder;
	readonly log: Logger;
	/** Whether this node is one of those that follow the table at this moment. */
	readonly isPoller: () => boolean;
	/** A number from 0 to below 1. */
	readonly random: () => number;
};

export type RoutesFollower = {readonly close: () => void};

/** Longest time of one question to the table; half the history that it keeps, in milliseconds. */
const waitMilliseconds = 15_000;
/** Pauses after a question that failed, in milliseconds. */
const minimumBackoffMilliseconds = 200;
const maximumBackoffMilliseconds = 2000;
/** How often a node looks whether it has become a poller; short beside a change's time bound. */
const pollerCheckMilliseconds = 250;

/**
 * Follows the routes until it is closed.
 *
 * @param options the table, the holder and the log
 * @returns the follower
 */
export function followRoutes(options: RoutesFollowerOptions): RoutesFollower {
	const {source, holder, log, random} = options;
	const life = {isClosed: false};
	let isLost = false;
	let failures = 0;

	function recordSuccess(): void {
		failures = 0;
		if (isLost) {
			isLost = false;
			log.info('table regained', {routesVersion: holder.current()?.table.version});
		}
	}

	async function recordFailure(error: RouteSourceError): Promise<void> {
		if (!isLost) {
			isLost = true;
			log.warn('table lost', {
				reason: error.message,
				routesVersion: holder.current()?.table.version,
			});
		}

		const grown = minimumBackoffMilliseconds * 2 ** Math.min(failures, 8);
		failures += 1;
		const pause = Math.min(maximumBackoffMilliseconds, grown) * (0.5 + random() / 2);
		await sleep(pause);
	}

	async function readPosition(): Promise<number | undefined> {
		while (!life.isClosed) {
			const reading = await source.read();
			if (reading.isOk()) {
				recordSuccess();
				take(reading.value.text);
				return reading.value.position;
			}

			await recordFailure(reading.error);
		}

		return undefined;
	}

	async function follow(): Promise<void> {
		let position = await readPosition();
		while (!life.isClosed && position !== undefined) {
			if (!options.isPoller()) {
				await sleep(pollerCheckMilliseconds);
				continue;
			}

			const change = await source.awaitChange(position, waitMilliseconds);
			if (change.isOk()) {
				recordSuccess();
				take(change.value.text);
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

	function take(text: string | undefined): void {
		if (text !== undefined) {
			holder.activate(text, 'table');
		}
	}

	void follow();
	return {
		close() {
			life.isClosed = true;
		},
	};
}
