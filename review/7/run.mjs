/**
 * A key is taken away from a connected consumer. It goes on sending parts of an order; their ids begin with the
 * id of the order, which another tenant's request bears that runs at the moment.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfig, createTenant, host} from './stand-ins/config.mjs';
import {sendRequest} from './stand-ins/consumer.mjs';
import {runCase, startFleet} from './stand-ins/fleet.mjs';
import {startInstance} from './stand-ins/instance.mjs';

const revokeMilliseconds = 5000;
const service = 'odovzdanie';
const routes = [
	{
		name: 'r-settle',
		prefix: '/settle/',
		kind: 'non_idempotent',
		service,
		'timeout-ms': 2000,
	},
];
const orders = 8;
const workMilliseconds = 600;

await runCase(import.meta.dirname, async context => {
	const {record, hasTrouble} = context;
	const north = createTenant('north', ['key-of-north']);
	const fleet = await startFleet({
		config: createConfig(1, {
			routes,
			tenants: [north, createTenant('south', ['key-of-south'])],
		}),
	});
	context.fleet = fleet;
	const machine = fleet.addMachine({
		name: 'sidecar-zapad-a-1',
		zone: 'zapad-a',
		region: 'zapad',
		service,
	});
	machine.start();
	const instance = await startInstance(fleet, machine, {
		id: 'i-zapad-1',
		work: workMilliseconds,
	});
	await machine.waitUntilReady();
	await fleet.waitUntilKnown(1);

	async function send(id, key) {
		const answer = await sendRequest({
			to: machine.outbound,
			method: 'POST',
			path: '/settle/one',
			headers: {
				host,
				'x-request-id': id,
				'x-request-deadline': '2000',
				'api-key': key,
			},
			body: 'cash on delivery',
			timeout: 2500,
		});
		const run = instance.runs.find(({id: ran}) => ran === id);
		record('request', {
			id,
			key,
			status: answer.status,
			hasRun: run !== undefined,
			tenant: run?.tenant,
		});
		return run;
	}

	await send('warm-up-0001', 'key-of-north');
	await send('warm-up-0002', 'key-of-south');
	if (hasTrouble) {
		fleet.store.putConfig(
			createConfig(2, {routes, tenants: [north, createTenant('south', [])]}),
		);
		record('config r2 acknowledged: key-of-south is taken away');
	}

	await sleep(revokeMilliseconds + 1500);
	await send('plain-0001', 'key-of-south');
	let wrong = 0;
	for (let number = 1; number <= orders; number += 1) {
		const order = `order-${String(number).padStart(4, '0')}`;
		const whole = send(order, 'key-of-north');
		// eslint-disable-next-line no-await-in-loop
		await sleep(workMilliseconds / 2);
		// eslint-disable-next-line no-await-in-loop
		const part = await send(`${order}.1`, 'key-of-south');
		wrong += part !== undefined && part.tenant !== 'south' ? 1 : 0;
		// eslint-disable-next-line no-await-in-loop
		await whole;
	}

	const late = instance.runs.filter(({id}) => id.endsWith('.1')).length;
	const broken = hasTrouble ? late : wrong;
	record('requests with a key that was taken away which ran later than revoke-ms', {
		broken,
		orders,
	});
	return broken > 0;
});
