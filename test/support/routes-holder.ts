/** A holder of routes whose documents consist of a version only, and a log that drops its lines. */
import {ok} from 'neverthrow';
import {createRoutesHolder, type RoutesHolder} from '../../src/relay/active-routes.js';
import type {Team} from '../../src/routes/index.js';

const ignore = (): void => undefined;

export const silentLog = {info: ignore, warn: ignore, error: ignore};

const team: Team = {
	name: 'couriers',
	keys: ['key'],
	rank: undefined,
	homes: [],
	requestsPerSecond: Number.POSITIVE_INFINITY,
	burst: 0,
};

/**
 * Creates a holder without routes.
 *
 * @param onChange called with each version that is activated
 * @param teams the teams of each document
 * @returns the holder
 */
export function createVersionHolder(
	onChange: (version: number) => void = ignore,
	teams: readonly Team[] = [],
): RoutesHolder {
	return createRoutesHolder({
		decode: text =>
			ok({
				version: Number(text),
				routes: [],
				services: [],
				teams,
				limits: {
					maximumHeaderBytes: 1,
					maximumBodyBytes: 1,
					headerTimeoutMilliseconds: 1,
					idleTimeoutMilliseconds: 1,
				},
			}),
		log: silentLog,
		now: () => performance.now(),
		onChange,
	});
}

/** @returns a holder whose documents ask callers for keys */
export function createTeamRoutesHolder(): RoutesHolder {
	return createVersionHolder(ignore, [team]);
}
