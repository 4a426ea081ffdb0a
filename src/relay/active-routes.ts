/**
 * The routes that a node has in force. A table replaces the one held only with a higher version,
 * whichever way it came; one that cannot be read changes nothing and leaves a log line.
 */
import type {Result} from 'neverthrow';
import type {Logger} from '../log/index.js';
import {createRouteIndex, type RouteIndex, type RouteTable} from '../routes/index.js';

export type ActiveRoutes = {
	readonly table: RouteTable;
	readonly index: RouteIndex;
	/** The document as received, to hand on. */
	readonly text: string;
	/** Monotonic milliseconds at which it came into force here. */
	readonly activeSince: number;
};

/** Why a document of routes is not used. */
export type RoutesError = {
	readonly kind: 'routes-unreadable';
	readonly message: string;
};

export type RoutesHolder = {
	readonly current: () => ActiveRoutes | undefined;
	/** Puts a document in force if it is newer; tells whether it did. */
	readonly activate: (text: string, source: string) => boolean;
};

export type RoutesHolderOptions = {
	readonly decode: (text: string) => Result<RouteTable, RoutesError>;
	readonly log: Logger;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	readonly onChange: (version: number) => void;
};

/**
 * Creates a holder without routes.
 *
 * @param options how documents are read, log and clock
 * @returns the holder
 */
export function createRoutesHolder(options: RoutesHolderOptions): RoutesHolder {
	const {log, now} = options;
	let held: ActiveRoutes | undefined;
	return {
		current: () => held,
		activate(text, source) {
			const decoded = options.decode(text);
			if (decoded.isErr()) {
				log.warn('routes unreadable', {source, reason: decoded.error.message});
				return false;
			}

			const table = decoded.value;
			const before = held?.table.version;
			if (before !== undefined && table.version <= before) {
				return false;
			}

			held = {table, index: createRouteIndex(table), text, activeSince: now()};
			log.info('routes in force', {
				version: table.version,
				before,
				routes: table.routes.length,
				source,
			});
			options.onChange(table.version);
			return true;
		},
	};
}
