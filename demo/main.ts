/**
 * Demo on loopback: four nodes in two regions, each with a server, the table stand-in, and the
 * presets of the Coastal Darkroom example. It shows two calls, a preset switch and a state dump,
 * and then shuts everything down gracefully. With `--keep` it runs until interrupted instead, for
 * experiments with the load tool.
 */
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createMesh, type Mesh, type MeshNode} from './mesh.js';
import {runCommand} from './processes.js';

const maximumStateCharacters = 1200;

const {values} = parseArgs({
	options: {
		'first-port': {type: 'string', default: '7400'},
		keep: {type: 'boolean', default: false},
	},
});

function printSection(title: string, text: string): void {
	process.stdout.write(`\n== ${title}\n${text.trimEnd()}\n`);
}

async function demonstrateCall(
	node: MeshNode,
	service: string,
	method: string,
): Promise<void> {
	const response = await fetch(`http://127.0.0.1:${node.ports.data}/bays/4`, {
		method,
		headers: {
			'foxtailtide-service': service,
			'foxtailtide-deadline-ms': '2000',
			...(method === 'POST' ? {'idempotency-key': randomUUID()} : {}),
		},
	});
	const outcome = response.headers.get('foxtailtide-outcome') ?? 'none';
	printSection(
		`${method} to ${service} through ${node.id}`,
		`status ${response.status}, outcome ${outcome}\n${await response.text()}`,
	);
}

async function demonstratePresetSwitch(mesh: Mesh): Promise<void> {
	const [first, last] = [mesh.nodes[0]!, mesh.nodes.at(-1)!];
	printSection(
		'preset list',
		await runCommand(mesh.environmentOf(first), 'preset', 'list'),
	);
	printSection(
		'preset switch peaks',
		await runCommand(mesh.environmentOf(first), 'preset', 'switch', 'peaks'),
	);
	await mesh.waitUntil(async () => {
		const list = await runCommand(mesh.environmentOf(last), 'preset', 'list');
		return list.includes('* peaks');
	});
	printSection(
		`preset list at ${last.id}, in the other region`,
		await runCommand(mesh.environmentOf(last), 'preset', 'list'),
	);
	printSection(
		'configuration status',
		await runCommand(mesh.environmentOf(first), 'configuration', 'status'),
	);
}

async function printState(mesh: Mesh): Promise<void> {
	const node = mesh.nodes[0]!;
	const state = await runCommand(mesh.environmentOf(node), 'state');
	const excerpt = `${state.slice(0, maximumStateCharacters)}\n... ${state.length} characters in total`;
	printSection(`state of ${node.id}`, excerpt);
}

async function runDemo(mesh: Mesh): Promise<void> {
	await demonstrateCall(mesh.nodes[0]!, 'availability', 'GET');
	await demonstrateCall(mesh.nodes[3]!, 'booking', 'POST');
	await demonstratePresetSwitch(mesh);
	await printState(mesh);
}

/** Keeps the mesh running for experiments until SIGINT or SIGTERM. */
async function keepRunning(mesh: Mesh): Promise<void> {
	const ports = mesh.nodes.map(
		({id, ports}) => `${id}: data listener on port ${ports.data}`,
	);
	printSection('running until interrupted', ports.join('\n'));
	await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
}

async function main(): Promise<void> {
	const mesh = await createMesh(Number(values['first-port']));
	try {
		await (values.keep ? keepRunning(mesh) : runDemo(mesh));
	} finally {
		printSection('stopping', 'shutting down every process gracefully');
		await mesh.stop();
	}

	printSection('done', 'all processes have ended');
}

void main();
