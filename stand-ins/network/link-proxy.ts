/**
 * A proxy that emulates a network link. It forwards TCP connections and UDP datagrams to one
 * target, with a delay, a bandwidth limit and outages that can be changed while it runs. Tests use
 * it for the network paths between failure domains and regions.
 */
import {createSocket, type RemoteInfo, type Socket as DatagramSocket} from 'node:dgram';
import {once} from 'node:events';
import {createConnection, createServer, type AddressInfo, type Socket} from 'node:net';

export const cuts = {
	/** Everything is forwarded. */
	none: 'none',
	/** Nothing is forwarded and no side is notified, as when a network path is lost. */
	silent: 'silent',
	/** Connections are reset. */
	reset: 'reset',
	/** Traffic to the target is forwarded; traffic back is not. */
	answers: 'answers',
} as const;

export type Cut = (typeof cuts)[keyof typeof cuts];

/** Current conditions of the link. */
export type LinkQuality = {
	/** One-way delay, in milliseconds. */
	readonly delayMilliseconds: number;
	/** Bandwidth in each direction; 0 for no limit. */
	readonly bytesPerSecond: number;
	readonly cut: Cut;
};

export type LinkProxy = {
	readonly port: number;
	readonly setQuality: (quality: Partial<LinkQuality>) => void;
	/** Bytes forwarded, in both directions. */
	readonly forwardedBytes: () => number;
	readonly close: () => Promise<void>;
};

type LinkProxyOptions = {
	readonly host: string;
	/** Port to listen on; 0 for any free port. */
	readonly port: number;
	readonly targetPort: number;
	/** Host of the target; `host` if absent. */
	readonly targetHost?: string;
	readonly quality?: Partial<LinkQuality>;
};

/** One direction of the link. */
type Direction = {
	/** When the bytes accepted so far are transmitted, on the clock of `performance.now()`. */
	freeAt: number;
};

type Link = {
	quality: LinkQuality;
	forwardedBytes: number;
	isClosed: boolean;
	readonly toTarget: Direction;
	readonly fromTarget: Direction;
	readonly sockets: Set<Socket>;
};

/**
 * Starts a link proxy.
 *
 * @param options addresses and the initial quality of the link
 * @returns the proxy, listening on TCP and UDP
 */
export async function startLinkProxy(options: LinkProxyOptions): Promise<LinkProxy> {
	const link: Link = {
		quality: {
			delayMilliseconds: 0,
			bytesPerSecond: 0,
			cut: cuts.none,
			...options.quality,
		},
		forwardedBytes: 0,
		isClosed: false,
		toTarget: {freeAt: 0},
		fromTarget: {freeAt: 0},
		sockets: new Set(),
	};
	const server = createServer(socket => {
		connectToTarget(link, socket, options);
	});
	server.listen(options.port, options.host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const datagramSocket = await openDatagramSocket(link, port, options);
	return {
		port,
		setQuality(quality) {
			link.quality = {...link.quality, ...quality};
			applyCut(link);
		},
		forwardedBytes: () => link.forwardedBytes,
		async close() {
			link.isClosed = true;
			for (const socket of link.sockets) {
				socket.destroy();
			}

			datagramSocket.close();
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

function connectToTarget(
	link: Link,
	clientSocket: Socket,
	options: LinkProxyOptions,
): void {
	if (link.quality.cut === cuts.reset) {
		clientSocket.resetAndDestroy();
		return;
	}

	const targetSocket = createConnection({
		host: options.targetHost ?? options.host,
		port: options.targetPort,
		noDelay: true,
	});
	clientSocket.setNoDelay(true);
	for (const socket of [clientSocket, targetSocket]) {
		link.sockets.add(socket);
		socket.once('close', () => link.sockets.delete(socket));
	}

	forward(link, clientSocket, targetSocket, link.toTarget);
	forward(link, targetSocket, clientSocket, link.fromTarget);
}

function forward(link: Link, from: Socket, to: Socket, direction: Direction): void {
	from.on('data', (chunk: Uint8Array) => {
		from.pause();
		scheduleDelivery(link, direction, chunk.length, () => {
			from.resume();
			if (!to.destroyed) {
				to.write(chunk);
			}
		});
	});
	from.on('end', () => {
		scheduleDelivery(link, direction, 0, () => to.end());
	});
	from.on('error', () => to.destroy());
	from.on('close', hadError => {
		scheduleDelivery(link, direction, 0, () => (hadError ? to.destroy() : to.end()));
	});
}

/** Delivers bytes after the transmission time and the delay, and not before a cut ends. */
function scheduleDelivery(
	link: Link,
	direction: Direction,
	bytes: number,
	deliver: () => void,
): void {
	const now = performance.now();
	const {delayMilliseconds, bytesPerSecond} = link.quality;
	const sendMilliseconds = bytesPerSecond > 0 ? (bytes / bytesPerSecond) * 1000 : 0;
	direction.freeAt = Math.max(now, direction.freeAt) + sendMilliseconds;
	const waitMilliseconds = direction.freeAt - now + delayMilliseconds;
	const tryDeliver = (): void => {
		if (link.isClosed) {
			return;
		}

		if (isCut(link, direction)) {
			setTimeout(tryDeliver, cutCheckIntervalMilliseconds);
			return;
		}

		link.forwardedBytes += bytes;
		deliver();
	};

	if (waitMilliseconds > 0) {
		setTimeout(tryDeliver, waitMilliseconds);
		return;
	}

	tryDeliver();
}

const cutCheckIntervalMilliseconds = 20;

function isCut(link: Link, direction: Direction): boolean {
	const {cut} = link.quality;
	return cut === cuts.silent || (cut === cuts.answers && direction === link.fromTarget);
}

/** Opens the UDP side. Each sender gets its own socket to the target, so that replies find it. */
async function openDatagramSocket(
	link: Link,
	port: number,
	options: LinkProxyOptions,
): Promise<DatagramSocket> {
	const clientSocket = createSocket('udp4');
	const socketsBySender = new Map<string, DatagramSocket>();
	clientSocket.on('message', (message, sender) => {
		forwardDatagram(link, link.toTarget, message.length, () => {
			findOrOpenSocket(sender).send(
				message,
				options.targetPort,
				options.targetHost ?? options.host,
			);
		});
	});

	function findOrOpenSocket(sender: RemoteInfo): DatagramSocket {
		const key = `${sender.address}:${sender.port}`;
		const existing = socketsBySender.get(key);
		if (existing) {
			return existing;
		}

		const targetSocket = createSocket('udp4');
		targetSocket.on('message', message => {
			forwardDatagram(link, link.fromTarget, message.length, () => {
				clientSocket.send(message, sender.port, sender.address);
			});
		});
		socketsBySender.set(key, targetSocket);
		return targetSocket;
	}

	clientSocket.bind(port, options.host);
	await once(clientSocket, 'listening');
	clientSocket.on('close', () => {
		for (const targetSocket of socketsBySender.values()) {
			targetSocket.close();
		}
	});
	return clientSocket;
}

function forwardDatagram(
	link: Link,
	direction: Direction,
	bytes: number,
	deliver: () => void,
): void {
	if (link.isClosed || link.quality.cut === cuts.reset || isCut(link, direction)) {
		return;
	}

	setTimeout(() => {
		if (!link.isClosed) {
			link.forwardedBytes += bytes;
			deliver();
		}
	}, link.quality.delayMilliseconds);
}
