/** Follows the configuration at a node and provides the active policies to its calls. */
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

/** The configuration of a node and the policies that apply to its calls. */
export type NodeConfiguration = {
	readonly configuration: Configuration;
	readonly findPolicy: (service: string) => CallPolicy | undefined;
	/** Policies of the active preset of a service, or the default policies. */
	readonly findPolicies: (service: string | undefined) => NodePolicies;
	/** Why the node cannot serve calls yet, with the remedy; `undefined` when it can. */
	readonly findUnreadiness: () => string | undefined;
};

const unreadinessMessages = {
	[unreadinessReasons.answers]:
		'neither the table nor enough other nodes have reported the newest configuration; check the table and the seeds',
	[unreadinessReasons.document]:
		'a reported configuration version has not been fetched yet; wait a moment',
	[unreadinessReasons.configuration]: 'there is no configuration; apply one',
} as const;

export type NodeConfigurationOptions = {
	readonly settings: Settings;
	readonly membership: Membership;
	readonly table: TableClient | undefined;
	readonly log: Logger;
};

/**
 * Follows the configuration until the scope is closed.
 *
 * @param options settings, membership, table and log of the node
 */
export function followConfiguration(
	options: NodeConfigurationOptions,
): Effect.Effect<NodeConfiguration, never, Scope.Scope> {
	const {settings, membership, table, log} = options;
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
		const settingsServices = new Map(Object.entries(settings.services));
		return {
			configuration,
			findPolicy: service =>
				configuration.findServicePolicy(service)?.service ??
				settingsServices.get(service),
			findPolicies: service =>
				(service === undefined
					? undefined
					: configuration.findServicePolicy(service)?.preset) ?? defaultPolicies,
			findUnreadiness() {
				const reason = configuration.findUnreadiness();
				return reason === undefined || settingsServices.size > 0
					? undefined
					: unreadinessMessages[reason];
			},
		};
	});
}
