/** Fetches configuration versions and documents from other nodes. */
import type {ConfigurationPeers} from '../configuration/index.js';
import {
	ConfigurationPeerClient,
	type CompareReply,
	type FetchReply,
} from '../generated/configuration.js';
import {sendControlRequest, createControlClients} from './control.js';

const compareTimeoutMilliseconds = 1000;
const fetchTimeoutMilliseconds = 1500;

/** Configuration peers whose connections must be closed. */
export type ClosableConfigurationPeers = ConfigurationPeers & {
	readonly close: () => void;
};

export function createConfigurationPeers(): ClosableConfigurationPeers {
	const clients = createControlClients(ConfigurationPeerClient);
	return {
		async compare({host, controlPort}, digest) {
			const client = clients.getClient(host, controlPort);
			const reply = await sendControlRequest<CompareReply>(
				(metadata, options, callback) => {
					client.compare({digest}, metadata, options, callback);
				},
				compareTimeoutMilliseconds,
			);
			return reply && {isReady: reply.ready, heads: reply.heads};
		},
		async fetch({host, controlPort}, head) {
			const client = clients.getClient(host, controlPort);
			const reply = await sendControlRequest<FetchReply>(
				(metadata, options, callback) => {
					client.fetch(head, metadata, options, callback);
				},
				fetchTimeoutMilliseconds,
			);
			return reply === undefined || reply.version === 0
				? undefined
				: {team: head.team, ...reply};
		},
		close: clients.close,
	};
}
