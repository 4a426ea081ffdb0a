/** Follows the configuration at a node, and gives calls the policies in force. */
import {performance} from 'node:perf_hooks';
import {Effect, type Scope} from 'effect';
import type {CallPolicy} from '../call/index.js';
import {
	createConfiguration,
	unreadinessReasons,
	type Configuration,
} from '../configuration/index.js';
import type {Logger} from '../log/index.js';
import type {Membership} from '../membership/index.js';
import type {TableClient} from '../table/index.js';
import type {Settings} from '../settings/index.js';
import {createConfigurationPeers} from './configuration-peers.js';
import {defaultPolicies, type NodePolicies} from './policies.js';

/** The policies that a node's calls follow. */
export type NodeConfiguration = {
	readonly configuration: Configuration;
	readonly findPolicy: (service: string) => CallPolicy | undefined;
	/** Policies of the preset in force for a service; without one, those that a node starts with. */
	readonly findPolicies: (service: string | undefined) => NodePolicies;
	/** Why the node may not serve yet, with the remedy; `undefined` when it may. */
	readonly findUnreadiness: () => string | undefined;
};

const waitMessages = {
	[unreadinessReasons.answers]:
		'neither the table nor enough other nodes have told the newest configuration; check the table and the seeds',
	[unreadinessReasons.document]:
		'a configuration that was heard of is still on its way; wait a moment',
	[unreadinessReasons.configuration]: 'there is no configuration; apply one',
} as const;

export type NodeConfigurationParts = {
	readonly settings: Settings;
	readonly membership: Membership;
	readonly table: TableClient | undefined;
	readonly log: Logger;
};

/**
 * Follows the configuration for as long as the scope lives.
 *
 * @param parts the node's settings, members and table
 */
export function followConfiguration(
	parts: NodeConfigurationParts,
): Effect.Effect<NodeConfiguration, never, Scope.Scope> {
	const {settings, membership, table, log} = parts;
	return Effect.gen(function* () {
		const peers = yield* Effect.acquireRelease(
			Effect.sync(createConfigurationPeers),
			({close}) => Effect.sync(close),
		);
		const configuration = yield* createConfiguration({
			self: membership.self,
			members: membership.all,
			findMember: membership.find,
			table,
			peers,
			publishVersion: membership.publishVersion,
			onVersion: membership.onVersion,
			now: () => performance.now(),
			wallClock: Date.now,
			random: Math.random,
			log,
		});
		const startingServices = new Map(Object.entries(settings.services));
		return {
			configuration,
			findPolicy: service =>
				configuration.findServicePolicy(service)?.service ??
				startingServices.get(service),
			findPolicies: service =>
				(service === undefined
					? undefined
					: configuration.findServicePolicy(service)?.preset) ?? defaultPolicies,
			findUnreadiness() {
				const wait = configuration.findUnreadiness();
				return wait === undefined || startingServices.size > 0
					? undefined
					: waitMessages[wait];
			},
		};
	});
}
