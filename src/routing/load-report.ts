/**
 * The load that a gate reports on its answers, as the value of one short header: requests in
 * flight, requests queued, service time in tenths of a millisecond, and slots, parted by commas.
 */
export const loadHeaderName = 'foxtailtide-load';

const fieldCount = 4;
/** Digits of one number; what is longer can't be a load. */
const maximumFieldDigits = 9;
const zeroCode = 48;
const nineCode = 57;
const tenthsPerMillisecond = 10;

/** Longest value that a report encodes to, in bytes. */
export const maximumLoadValueBytes = fieldCount * (maximumFieldDigits + 1) - 1;

/** The load of one server as its gate counts it. */
export type LoadReport = {
	/** Requests that run at the server. */
	readonly inFlight: number;
	/** Requests that wait at the gate. */
	readonly queued: number;
	/** Recent mean service time. */
	readonly serviceMilliseconds: number;
	/** Requests that the server runs at once. */
	readonly slots: number;
};

/**
 * @param report the load
 * @returns the header value
 */
export function encodeLoadReport(report: LoadReport): string {
	const tenths = Math.round(report.serviceMilliseconds * tenthsPerMillisecond);
	return `${report.inFlight},${report.queued},${tenths},${report.slots}`;
}

/**
 * @param value the header value as received
 * @returns the load, or undefined for anything that isn't a report
 */
export function decodeLoadReport(value: string | undefined): LoadReport | undefined {
	if (value === undefined || value.length > maximumLoadValueBytes) {
		return undefined;
	}

	const fields = value.split(',');
	if (fields.length !== fieldCount || !fields.every(field => isNumber(field))) {
		return undefined;
	}

	return {
		inFlight: Number(fields[0]),
		queued: Number(fields[1]),
		serviceMilliseconds: Number(fields[2]) / tenthsPerMillisecond,
		slots: Number(fields[3]),
	};
}

function isNumber(field: string): boolean {
	if (field.length === 0 || field.length > maximumFieldDigits) {
		return false;
	}

	for (let index = 0; index < field.length; index += 1) {
		const code = field.codePointAt(index)!;
		if (code < zeroCode || code > nineCode) {
			return false;
		}
	}

	return true;
}
