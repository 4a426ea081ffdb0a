/** An answer to a load query that comes after its timeout, over real sockets. */
import {createSocket} from 'node:dgram';
import {test} from 'node:test';
import {expect} from 'earl';
import {GateDatagram} from '../../src/generated/gate.js';
import {openGateSocket} from '../../src/relay/gate-socket.js';

test('a late answer is passed on once, with its round trip', async () => {
	const gate = createSocket('udp4');
	await new Promise<void>(resolve => {
		gate.bind(0, '127.0.0.1', resolve);
	});
	let timedOut!: () => void;
	const afterTimeout = new Promise<void>(resolve => {
		timedOut = resolve;
	});
	gate.on('message', (bytes, {address, port}) => {
		const {sequence} = GateDatagram.decode(bytes);
		const value = {
			accepting: true,
			waitMilliseconds: 7,
			durationMilliseconds: 90,
			failurePercent: 0,
		};
		const body = {$case: 'loadAnswer' as const, value};
		void afterTimeout.then(() => {
			const answer = GateDatagram.encode({sequence, body}).finish();
			gate.send(answer, port, address);
			gate.send(answer, port, address);
		});
	});
	const socket = await openGateSocket({
		address: {host: '127.0.0.1', port: 0},
		now: () => performance.now(),
		report: async () => ({
			accepting: false,
			waitMilliseconds: 0,
			durationMilliseconds: 0,
			failureShare: 0,
		}),
		cancelAttempt: () => false,
		grantAllowance: () => ({
			allocates: false,
			allocator: '',
			granted: 0,
			roomMilliseconds: 0,
			spreadMilliseconds: 0,
		}),
		incarnation: 1,
		trySpend: () => true,
		onError: () => undefined,
	});
	const question = {
		route: 'route',
		rank: 1,
		nested: false,
		targetMilliseconds: 400,
		bodyBytes: 0,
	};
	const waits: number[] = [];
	const isLate = new Promise<void>(resolve => {
		const address = {host: '127.0.0.1', port: gate.address().port};
		void socket
			.queryLoad(address, question, 5, late => {
				waits.push(late.waitMilliseconds);
				expect(late.roundTripMilliseconds).toBeGreaterThan(0);
				resolve();
			})
			.then(report => {
				expect(report).toEqual(undefined);
				timedOut();
			});
	});
	await isLate;
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	expect(waits).toEqual([7]);
	socket.close();
	gate.close();
});
