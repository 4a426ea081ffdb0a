/**
 * A proxy that delivers what it gets after a delay, in a new connection, as a network does with a
 * message whose first packets were lost. Its sender may have given up by then.
 */
import {once} from 'node:events';
import {connect, createServer} from 'node:net';

/**
 * Starts the proxy.
 *
 * @param host address to listen on
 * @param target address to deliver to
 * @param delayMilliseconds how long each message is held
 * @param onDelivered called after the delivery of each message
 */
export async function startDelayProxy(host, target, delayMilliseconds, onDelivered) {
	const server = createServer(incoming => {
		const pieces = [];
		incoming.on('data', piece => pieces.push(piece));
		incoming.on('error', () => undefined);
		setTimeout(() => {
			const outgoing = connect(target.port, target.host, () => {
				for (const piece of pieces) {
					outgoing.write(piece);
				}
			});
			let answer = '';
			outgoing.on('data', piece => {
				answer += piece.toString('latin1');
				const [line] = answer.split('\r\n');
				outgoing.destroy();
				onDelivered(line);
			});
			outgoing.on('error', error => onDelivered(error.code));
		}, delayMilliseconds);
	});
	server.listen(0, host);
	await once(server, 'listening');
	return {
		address: {host, port: server.address().port},
		close() {
			server.close();
		},
	};
}
