/** Serves the administration API of a node on its own listener. */
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
	/** State of the node's other components by name, as JSON values. */
	readonly dumps: Readonly<Record<string, () => unknown>>;
	/** Starts a graceful stop, as a stop signal does. */
	readonly requestStop: () => void;
	readonly issueKeys?: AdministrationOptions['issueKeys'];
};

/**
 * Binds the administration listener; closing the scope closes it.
 *
 * @param options the components that the API exposes
 * @returns the bound port
 */
export function listenForAdministration(
	options: NodeAdministrationOptions,
): Effect.Effect<number, ListenError, Scope.Scope> {
	const {settings, membership, nodeConfiguration, log, dumps, requestStop, issueKeys} =
		options;
	const {configuration, findUnreadiness} = nodeConfiguration;
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
