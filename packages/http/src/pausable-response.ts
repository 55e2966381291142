import type {Socket} from 'node:net';
import type {Dispatcher} from 'undici';

/**
 * Controller of a response that tells when the response goes on after a pause. The parser of undici throws in an event handler
 * if a connection ends while its response is paused, so the end has to wait.
 */
export class PausableResponse implements Dispatcher.DispatchController {
	readonly #controller: Dispatcher.DispatchController;
	#onResume: (() => void) | undefined;

	constructor(controller: Dispatcher.DispatchController) {
		this.#controller = controller;
	}

	get aborted(): boolean {
		return this.#controller.aborted;
	}

	get paused(): boolean {
		return this.#controller.paused;
	}

	get reason(): Error | null {
		return this.#controller.reason;
	}

	/**
	 * Sets what is done once after the response has gone on.
	 *
	 * @param onResume - Called when a resumed response is not paused again by the bytes that were waiting.
	 */
	setOnResume(onResume: () => void): void {
		this.#onResume = onResume;
	}

	abort(reason: Error): void {
		this.#controller.abort(reason);
	}

	pause(): void {
		this.#controller.pause();
	}

	resume(): void {
		this.#controller.resume();
		if (!this.paused) {
			this.#onResume?.();
			this.#onResume = undefined;
		}
	}
}

/**
 * Schedules the end of a connection for the time after a pause of its response.
 *
 * @param socket - Socket of the connection; half-open, so that it is not closed before its end has been handled.
 * @param getResponse - Returns the response that is being received, if any.
 */
export function scheduleEnd(socket: Socket, getResponse: () => PausableResponse | undefined): void {
	const emit = socket.emit.bind(socket) as (event: string, ...parameters: unknown[]) => boolean;
	const emitDelayed = (event: string, ...parameters: unknown[]): boolean => {
		const response = getResponse();
		if (event !== 'end' || !response?.paused) {
			return emit(event, ...parameters);
		}

		response.setOnResume(() => {
			emit(event, ...parameters);
		});
		return true;
	};

	Object.assign(socket, {emit: emitDelayed});
}
