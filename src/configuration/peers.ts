/** Asks other nodes for the versions and documents that they hold, over gRPC. */
import {credentials, Metadata} from '@grpc/grpc-js';
import type {ControlAddress, ControlChannels} from '../control/index.js';
import {
	ConfigurationPeerClient,
	type CompareReply,
	type FetchReply,
} from '../generated/configuration.js';
import type {Head, Offer} from './holding.js';

const compareTimeoutMilliseconds = 1000;
const fetchTimeoutMilliseconds = 1500;

/** What another node holds; heads are left out when the digests are the same. */
export type Comparison = {
	readonly isReady: boolean;
	readonly digest: string;
	readonly heads: readonly Head[];
};

/** Other nodes as sources of configuration; `undefined` stands for no answer. */
export type ConfigurationPeers = {
	readonly compare: (
		address: ControlAddress,
		digest: string,
	) => Promise<Comparison | undefined>;
	/** Gives the version or, if the node does not have it, the one that it holds. */
	readonly fetch: (address: ControlAddress, head: Head) => Promise<Offer | undefined>;
};

/**
 * Creates the access to other nodes.
 *
 * @param channels the channels to use
 */
export function createConfigurationPeers(channels: ControlChannels): ConfigurationPeers {
	const connect = (address: ControlAddress) =>
		new ConfigurationPeerClient('', credentials.createInsecure(), {
			channelOverride: channels.open(address),
		});
	return {
		async compare(address, digest) {
			const deadline = Date.now() + compareTimeoutMilliseconds;
			const reply = await ask<CompareReply>(answer => {
				connect(address).compare({digest}, new Metadata(), {deadline}, answer);
			});
			return reply && {isReady: reply.ready, digest: reply.digest, heads: reply.heads};
		},
		async fetch(address, head) {
			const deadline = Date.now() + fetchTimeoutMilliseconds;
			const reply = await ask<FetchReply>(answer => {
				connect(address).fetch(head, new Metadata(), {deadline}, answer);
			});
			return reply === undefined || reply.version === 0
				? undefined
				: {team: head.team, ...reply};
		},
	};
}

type Answer<Reply> = (error: unknown, reply: Reply) => void;

/** A channel that was closed meanwhile throws; that too is no answer. */
async function ask<Reply>(
	send: (answer: Answer<Reply>) => void,
): Promise<Reply | undefined> {
	return new Promise(resolve => {
		try {
			send((error, reply) => {
				resolve(error instanceof Error ? undefined : reply);
			});
		} catch {
			resolve(undefined);
		}
	});
}
