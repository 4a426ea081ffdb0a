/**
 * A link between two places: passes TCP connections and UDP datagrams on to one target, with a
 * delay, a rate and cuts that can be set while it runs. It takes the place of the paths between
 * failure domains and regions.
 */
import {createSocket, type RemoteInfo, type Socket as DatagramSocket} from 'node:dgram';
import {once} from 'node:events';
import {createConnection, createServer, type AddressInfo, type Socket} from 'node:net';

export const cuts = {
	/** Everything passes. */
	none: 'none',
	/** Nothing passes and nobody is told, as when a path is lost. */
	silent: 'silent',
	/** Connections are reset. */
	reset: 'reset',
	/** What goes towards the target passes; what comes back does not. */
	answers: 'answers',
} as const;

export type Cut = (typeof cuts)[keyof typeof cuts];

/** How the link behaves. */
export type LinkQuality = {
	/** One-way delay, in milliseconds. */
	readonly delayMilliseconds: number;
	/** Bytes a second each way; 0 for no bound. */
	readonly bytesPerSecond: number;
	readonly cut: Cut;
};

export type LinkProxy = {
	readonly port: number;
	readonly setQuality: (quality: Partial<LinkQuality>) => void;
	/** Bytes that passed, both ways. */
	readonly forwardedBytes: () => number;
	readonly close: () => Promise<void>;
};

type LinkProxyOptions = {
	readonly host: string;
	/** Port to listen on; 0 lets the system pick one. */
	readonly port: number;
	readonly targetPort: number;
	/** Host of the target; that of the relay when absent. */
	readonly targetHost?: string;
	readonly quality?: Partial<LinkQuality>;
};

/** One direction of the link: when the bytes sent so far will have left it. */
type Lane = {
	freeAt: number;
};

type Link = {
	quality: LinkQuality;
	passedBytes: number;
	isClosed: boolean;
	readonly forth: Lane;
	readonly back: Lane;
	readonly sockets: Set<Socket>;
};

/**
 * Opens a relay.
 *
 * @param options addresses and the quality to start with
 * @returns the relay, listening on TCP and UDP
 */
export async function startLinkProxy(options: LinkProxyOptions): Promise<LinkProxy> {
	const link: Link = {
		quality: {
			delayMilliseconds: 0,
			bytesPerSecond: 0,
			cut: cuts.none,
			...options.quality,
		},
		passedBytes: 0,
		isClosed: false,
		forth: {freeAt: 0},
		back: {freeAt: 0},
		sockets: new Set(),
	};
	const server = createServer(socket => {
		join(link, socket, options);
	});
	server.listen(options.port, options.host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const datagrams = await openDatagrams(link, port, options);
	return {
		port,
		setQuality(quality) {
			link.quality = {...link.quality, ...quality};
			applyCut(link);
		},
		forwardedBytes: () => link.passedBytes,
		async close() {
			link.isClosed = true;
			for (const socket of link.sockets) {
				socket.destroy();
			}

			datagrams.close();
			server.close();
			await once(server, 'close');
		},
	};
}

function applyCut(link: Link): void {
	if (link.quality.cut !== cuts.reset) {
		return;
	}

	for (const socket of link.sockets) {
		socket.resetAndDestroy();
	}
}

function join(link: Link, near: Socket, options: LinkProxyOptions): void {
	if (link.quality.cut === cuts.reset) {
		near.resetAndDestroy();
		return;
	}

	const far = createConnection({
		host: options.targetHost ?? options.host,
		port: options.targetPort,
		noDelay: true,
	});
	near.setNoDelay(true);
	for (const socket of [near, far]) {
		link.sockets.add(socket);
		socket.once('close', () => link.sockets.delete(socket));
	}

	pass(link, near, far, link.forth);
	pass(link, far, near, link.back);
}

function pass(link: Link, from: Socket, to: Socket, lane: Lane): void {
	from.on('data', (chunk: Uint8Array) => {
		from.pause();
		carry(link, lane, chunk.length, () => {
			from.resume();
			if (!to.destroyed) {
				to.write(chunk);
			}
		});
	});
	from.on('end', () => {
		carry(link, lane, 0, () => to.end());
	});
	from.on('error', () => to.destroy());
	from.on('close', hadError => {
		carry(link, lane, 0, () => (hadError ? to.destroy() : to.end()));
	});
}

/** Lets bytes through after the delay and the time that the rate asks for; never while cut. */
function carry(link: Link, lane: Lane, bytes: number, deliver: () => void): void {
	const now = performance.now();
	const {delayMilliseconds, bytesPerSecond} = link.quality;
	const sendMilliseconds = bytesPerSecond > 0 ? (bytes / bytesPerSecond) * 1000 : 0;
	lane.freeAt = Math.max(now, lane.freeAt) + sendMilliseconds;
	const wait = lane.freeAt - now + delayMilliseconds;
	const attempt = (): void => {
		if (isCut(link, lane)) {
			setTimeout(attempt, recheckMilliseconds);
			return;
		}

		link.passedBytes += bytes;
		deliver();
	};

	if (wait > 0) {
		setTimeout(attempt, wait);
		return;
	}

	attempt();
}

const recheckMilliseconds = 20;

function isCut(link: Link, lane: Lane): boolean {
	const {cut} = link.quality;
	return cut === cuts.silent || (cut === cuts.answers && lane === link.back);
}

/** Datagrams of each sender go out through a socket of their own, so that answers find back. */
async function openDatagrams(
	link: Link,
	port: number,
	options: LinkProxyOptions,
): Promise<DatagramSocket> {
	const near = createSocket('udp4');
	const senders = new Map<string, DatagramSocket>();
	near.on('message', (message, sender) => {
		passDatagram(link, link.forth, message.length, () => {
			farSocketOf(sender).send(
				message,
				options.targetPort,
				options.targetHost ?? options.host,
			);
		});
	});

	function farSocketOf(sender: RemoteInfo): DatagramSocket {
		const name = `${sender.address}:${sender.port}`;
		const known = senders.get(name);
		if (known) {
			return known;
		}

		const far = createSocket('udp4');
		far.on('message', message => {
			passDatagram(link, link.back, message.length, () => {
				near.send(message, sender.port, sender.address);
			});
		});
		senders.set(name, far);
		return far;
	}

	near.bind(port, options.host);
	await once(near, 'listening');
	near.on('close', () => {
		for (const far of senders.values()) {
			far.close();
		}
	});
	return near;
}

function passDatagram(link: Link, lane: Lane, bytes: number, deliver: () => void): void {
	if (link.isClosed || link.quality.cut === cuts.reset || isCut(link, lane)) {
		return;
	}

	setTimeout(() => {
		if (!link.isClosed) {
			link.passedBytes += bytes;
			deliver();
		}
	}, link.quality.delayMilliseconds);
}
