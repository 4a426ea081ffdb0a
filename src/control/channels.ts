/**
 * Channels for control messages to other nodes. A few are kept open and shared by all services;
 * the one that was used least recently gives way to a new one.
 */
import {Channel, type ChannelCredentials} from '@grpc/grpc-js';

const maximumChannels = 32;
const idleMilliseconds = 60_000;
const longestReconnectMilliseconds = 2000;

/** Where a node's control listener stands. */
export type ControlAddress = {readonly host: string; readonly controlPort: number};

export type ControlChannels = {
	/** Channel to a node; for a client's option `channelOverride`. */
	readonly open: (address: ControlAddress) => Channel;
	readonly close: () => void;
};

/**
 * Creates an empty set of channels.
 *
 * @param credentials how channels are secured
 */
export function createControlChannels(credentials: ChannelCredentials): ControlChannels {
	/** In the order of their last use. */
	const channels = new Map<string, Channel>();
	return {
		open(address) {
			const target = formatTarget(address);
			const channel = channels.get(target) ?? createChannel(target, credentials);
			channels.delete(target);
			channels.set(target, channel);
			closeLeastRecent(channels);
			return channel;
		},
		close() {
			for (const channel of channels.values()) {
				channel.close();
			}

			channels.clear();
		},
	};
}

/** The address as gRPC names it; a version 6 address stands in brackets. */
function formatTarget({host, controlPort}: ControlAddress): string {
	return host.includes(':')
		? `ipv6:[${host}]:${controlPort}`
		: `ipv4:${host}:${controlPort}`;
}

function createChannel(target: string, credentials: ChannelCredentials): Channel {
	// The library names its options so.
	/* eslint-disable @typescript-eslint/naming-convention */
	return new Channel(target, credentials, {
		'grpc.client_idle_timeout_ms': idleMilliseconds,
		'grpc.max_reconnect_backoff_ms': longestReconnectMilliseconds,
		'grpc.initial_reconnect_backoff_ms': 100,
		'grpc.enable_http_proxy': 0,
		'grpc.use_local_subchannel_pool': 1,
	});
	/* eslint-enable @typescript-eslint/naming-convention */
}

function closeLeastRecent(channels: Map<string, Channel>): void {
	for (const [target, channel] of channels) {
		if (channels.size <= maximumChannels) {
			return;
		}

		channels.delete(target);
		channel.close();
	}
}
