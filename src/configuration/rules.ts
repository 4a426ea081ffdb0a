/**
 * Validation across fields of a document: the preset in force exists, ranks are unique and their
 * floor shares add up to at most 1, services name existing ranks. It parses the document
 * leniently, so that its faults are reported in one pass with those of the schema.
 */
import * as z from 'zod';
import type {PlacedFault} from '../settings/document.js';

type LoosePreset = {
	readonly ranks: ReadonlyArray<{readonly name: string; readonly floorShare: number}>;
	readonly services: Readonly<Record<string, {readonly rank: string}>>;
};

const looseDocument = createLooseDocument();

/** Floor shares may add up to exactly 1; this allows for the rounding error of the sum. */
const shareTolerance = 1e-9;

/**
 * Finds all faults between fields.
 *
 * @param value the document as parsed from YAML, valid or not
 * @returns the faults, empty if there are none
 */
export function findCrossFieldFaults(value: unknown): PlacedFault[] {
	const document = looseDocument.parse(value);
	const names = Object.keys(document.presets);
	const faults = Object.entries(document.presets).flatMap(([presetName, preset]) =>
		findPresetFaults(['presets', presetName], preset),
	);
	const {inForce} = document;
	if (inForce === undefined || names.includes(inForce)) {
		return faults;
	}

	const message = `no preset is named ${inForce}; name one of: ${names.join(', ')}`;
	return [{path: ['inForce'], message}, ...faults];
}

function findPresetFaults(path: readonly string[], preset: LoosePreset): PlacedFault[] {
	return [...findRankFaults(path, preset), ...findServiceFaults(path, preset)];
}

function findRankFaults(path: readonly string[], preset: LoosePreset): PlacedFault[] {
	const names = preset.ranks.map(rank => rank.name);
	const duplicates = names.flatMap((rankName, index) =>
		rankName !== '' && names.indexOf(rankName) < index
			? [
					{
						path: [...path, 'ranks', index, 'name'],
						message: `rank ${rankName} is defined twice; remove or rename one`,
					},
				]
			: [],
	);
	const total = preset.ranks.reduce((sum, rank) => sum + rank.floorShare, 0);
	if (total <= 1 + shareTolerance) {
		return duplicates;
	}

	const message = `the floor shares of the ranks add up to ${total}; lower them to a total of 1 or less`;
	return [...duplicates, {path: [...path, 'ranks'], message}];
}

function findServiceFaults(path: readonly string[], preset: LoosePreset): PlacedFault[] {
	const names = preset.ranks.map(rank => rank.name).filter(rankName => rankName !== '');
	return Object.entries(preset.services)
		.filter(([, service]) => service.rank !== '' && !names.includes(service.rank))
		.map(([serviceName, service]) => ({
			path: [...path, 'services', serviceName, 'rank'],
			message: `no rank is named ${service.rank}; name one of: ${names.join(', ')}`,
		}));
}

/** Parses only the fields needed here, with a neutral value where the schema reports a fault. */
function createLooseDocument() {
	const rank = z
		.object({name: z.string().catch(''), floorShare: z.number().catch(0)})
		.catch({name: '', floorShare: 0});
	const service = z.object({rank: z.string()}).catch({rank: ''});
	const preset = z
		.object({
			ranks: z.array(rank).catch([]),
			services: z.record(z.string(), service).catch({}),
		})
		.catch({ranks: [], services: {}});
	return z
		.object({
			inForce: z.string().optional().catch(undefined),
			presets: z.record(z.string(), preset).catch({}),
		})
		.catch({presets: {}});
}
