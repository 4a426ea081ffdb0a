/**
 * A key is taken away from a connected consumer. It goes on sending parts of an order; their ids begin with the
 * id of the order, which another tenant's request bears that runs at the moment.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfig, host} from '../support-2/config.mjs';
import {sendRequest} from '../support-2/consumer.mjs';
import {runCase, startFleet} from '../support-2/fleet.mjs';
import {startInstance} from '../support-2/instance.mjs';

const bounds = {
	'config-ms': 3000,
	'strict-revoke': true,
	'revoke-ms': 5000,
	'quota-window-s': 5,
};
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
const tenant = (name, keys) => ({name, 'api-keys': keys, 'per-s': 0, burst: 0});
const orders = 8;
const workMilliseconds = 600;

await runCase(import.meta.dirname, async context => {
	const {record, hasTrouble} = context;
	const services = [service];
	const north = tenant('north', ['key-of-north']);
	const fleet = await startFleet({
		bounds,
		config: createConfig(1, {
			services,
			routes,
			tenants: [north, tenant('south', ['key-of-south'])],
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
			createConfig(2, {services, routes, tenants: [north, tenant('south', [])]}),
		);
		record('config r2 acknowledged: key-of-south is taken away');
	}

	await sleep(bounds['revoke-ms'] + 1500);
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
