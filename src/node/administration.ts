/** Offers the administration API of a node on its own listener. */
import {randomUUID} from 'node:crypto';
import {type Effect, type Scope} from 'effect';
import {
	createAdministrationServer,
	createMetrics,
	type AdministrationOptions,
} from '../administration/index.js';
import type {Logger} from '../log/index.js';
import type {Membership} from '../membership/index.js';
import type {Settings} from '../settings/index.js';
import type {NodeConfiguration} from './configuration.js';
import {listen, type ListenError} from './listener.js';

export type NodeAdministrationOptions = {
	readonly settings: Settings;
	readonly membership: Membership;
	readonly nodeConfiguration: NodeConfiguration;
	readonly log: Logger;
	/** State of the node's other tasks by name, in plain values. */
	readonly dumps: Readonly<Record<string, () => unknown>>;
	/** Begins to leave as a stop signal does. */
	readonly requestStop: () => void;
	readonly issueKeys?: AdministrationOptions['issueKeys'];
};

/**
 * Listens for operators for as long as the scope lives.
 *
 * @param parts what the API reaches
 * @returns the port that is bound
 */
export function listenForAdministration(
	parts: NodeAdministrationOptions,
): Effect.Effect<number, ListenError, Scope.Scope> {
	const {
		settings,
		membership,
		nodeConfiguration: following,
		log,
		dumps,
		requestStop,
		issueKeys,
	} = parts;
	const {configuration, findUnreadiness} = following;
	const metrics = createMetrics();
	metrics.addCounters('configuration', configuration.counters);
	metrics.addGauges('node', () => ({
		ready: findUnreadiness() === undefined ? 1 : 0,
		members: membership.all().length,
	}));
	const server = createAdministrationServer({
		tokens: settings.administration.tokens,
		configuration,
		members: membership.all,
		dumpState: () => ({
			self: membership.self(),
			unreadiness: findUnreadiness(),
			configuration: configuration.dump(),
			membership: membership.dump(),
			...Object.fromEntries(Object.entries(dumps).map(([name, dump]) => [name, dump()])),
		}),
		drain: requestStop,
		issueKeys,
		readMetrics: metrics.read,
		findUnreadinessReason: findUnreadiness,
		createId: randomUUID,
		log,
	});
	return listen(server, settings.node.host, settings.listeners.administration);
}
