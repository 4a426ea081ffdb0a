/**
 * Keeps the routes of a node up to date. Every node reads them from the table once, and a few poll
 * the table for changes with one long poll at a time. The others learn of changes through gossip, so
 * that the load on the table does not grow with the number of nodes.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Result} from 'neverthrow';
import type {EvacuationRow} from '../evacuation/index.js';
import type {Logger} from '../log/index.js';
import type {RoutesHolder} from './active-routes.js';

/** A position in the history of the table. */
export type TablePosition = {
	/** Rises each time the table comes back from an older copy, whose versions count on from there. */
	readonly era: number;
	/** Rises with each change within an era. */
	readonly version: number;
};

/** Result of reading the routes from the table. */
export type RoutesReading = {
	/** The newest document; undefined if it has not changed or there is none. */
	readonly text: string | undefined;
	/** Where in the table's history this was read. */
	readonly position: TablePosition;
	/** Evacuations of failure domains that were written or removed, or all of them. */
	readonly evacuations: readonly EvacuationRow[];
	/** Whether all evacuations are listed; otherwise only those that have changed. */
	readonly isComplete: boolean;
	/** The table's steady clock while it answered, in milliseconds, if it states one. */
	readonly storeTime?: number | undefined;
};

export const routeSourceErrors = {
	/** The table did not answer, or refused for now. */
	unavailable: 'unavailable',
	/** The table no longer has the history after the given position, or has another one. */
	historyGone: 'history-gone',
} as const;

export type RouteSourceError = {
	readonly kind: (typeof routeSourceErrors)[keyof typeof routeSourceErrors];
	readonly message: string;
};

/** The store that holds the routes. */
export type RouteSource = {
	readonly read: () => Promise<Result<RoutesReading, RouteSourceError>>;
	/**
	 * Waits for a change after a position, for a limited time. The history is gone when the table
	 * answers in another era than that of the position.
	 */
	readonly awaitChange: (
		position: TablePosition,
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
	/** Called when the table answers in another era than before, and at its first answer. */
	readonly onEra: (era: number) => void;
	/** Called with each reading, before its routes are activated. */
	readonly onReading: (reading: RoutesReading) => void;
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
	let knownEra: number | undefined;

	function recordSuccess(reading: RoutesReading): void {
		const {position} = reading;
		failures = 0;
		recordEra(position);
		options.onReading(reading);
		if (isUnavailable) {
			isUnavailable = false;
			log.info('table regained', {
				...position,
				routesVersion: holder.current()?.table.version,
			});
		}
	}

	function recordEra({era, version}: TablePosition): void {
		if (era === knownEra) {
			return;
		}

		if (knownEra !== undefined) {
			log.warn('table restored', {era, before: knownEra, version});
		}

		knownEra = era;
		options.onEra(era);
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

	async function readPosition(): Promise<TablePosition | undefined> {
		while (!state.isClosed) {
			const reading = await source.read();
			if (reading.isOk()) {
				recordSuccess(reading.value);
				activate(reading.value.text);
				return reading.value.position;
			}

			await recordFailure(reading.error);
		}

		return undefined;
	}

	async function follow(): Promise<void> {
		await readPosition();
		while (!state.isClosed) {
			await (options.isPoller() ? poll() : sleep(pollerCheckMilliseconds));
		}
	}

	/**
	 * Polls from the present on. A position is used only while the table answers without a gap: after
	 * one, the table may have given out its versions again.
	 */
	async function poll(): Promise<void> {
		let position = await readPosition();
		while (position !== undefined && !state.isClosed && options.isPoller()) {
			const change = await source.awaitChange(position, longPollMilliseconds);
			if (change.isOk()) {
				recordSuccess(change.value);
				activate(change.value.text);
				position = change.value.position;
				continue;
			}

			if (change.error.kind === routeSourceErrors.historyGone) {
				log.info('table history gone', {...position});
			} else {
				await recordFailure(change.error);
			}

			return;
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
