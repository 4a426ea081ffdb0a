/**
 * The active routes of a node. A route table replaces the active one only if its version is higher,
 * whatever its source. A document that cannot be read is logged and ignored.
 */
import type {Result} from 'neverthrow';
import type {Logger} from '../log/index.js';
import {createRouteIndex, type RouteIndex, type RouteTable} from '../routes/index.js';
import {createTeamIndex, type TeamIndex} from '../teams/index.js';

export type ActiveRoutes = {
	readonly table: RouteTable;
	readonly index: RouteIndex;
	readonly teams: TeamIndex;
	/** The document as received, for other nodes. */
	readonly text: string;
	/** Monotonic time in milliseconds. */
	readonly activeSince: number;
};

/** Why a route document is rejected. */
export type RoutesError = {
	readonly kind: 'routes-unreadable';
	readonly message: string;
};

export type RoutesHolder = {
	readonly current: () => ActiveRoutes | undefined;
	/** Activates a document if it is newer; returns whether it could be read. */
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
 * @param options the decoder of documents, log and clock
 * @returns the holder
 */
export function createRoutesHolder(options: RoutesHolderOptions): RoutesHolder {
	const {log, now} = options;
	let activeRoutes: ActiveRoutes | undefined;
	return {
		current: () => activeRoutes,
		activate(text, source) {
			const decoded = options.decode(text);
			if (decoded.isErr()) {
				log.warn('routes unreadable', {source, reason: decoded.error.message});
				return false;
			}

			const table = decoded.value;
			const before = activeRoutes?.table.version;
			if (before !== undefined && table.version <= before) {
				return true;
			}

			activeRoutes = {
				table,
				index: createRouteIndex(table),
				teams: createTeamIndex(table),
				text,
				activeSince: now(),
			};
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
