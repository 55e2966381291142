import {X509Certificate} from 'node:crypto';
import fs from 'node:fs';
import {createSecureContext, type SecureContextOptions} from 'node:tls';
import {err, ok, type Result} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';

const logger = createLogger('tls');

/** Options of {@link TlsFiles}. */
export type TlsFilesOptions = {
	/** PEM file with the certificate. */
	readonly certificateFile: string;
	/** PEM file with the private key. */
	readonly keyFile: string;
	/** PEM file with the certificate authorities that are trusted on outgoing connections. */
	readonly authorityFile?: string;
	/** Interval at which the files are read again, in milliseconds. */
	readonly pollMilliseconds: number;
};

/** Defaults of {@link TlsFilesOptions}; files are polled, because file system events are lost when a directory is replaced. */
export const defaultTlsFilesOptions = {pollMilliseconds: 5000};

/** Contents of the files. */
export type TlsContents = Required<Pick<SecureContextOptions, 'cert' | 'key'>> & {readonly authority: string | undefined};

/** Certificate and key of a listener, reloaded when the files change. */
export class TlsFiles {
	readonly #options: TlsFilesOptions;
	#contents: TlsContents | undefined;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: Partial<TlsFilesOptions> & Pick<TlsFilesOptions, 'certificateFile' | 'keyFile'>) {
		this.#options = {...defaultTlsFilesOptions, ...options};
	}

	/** The contents in use; undefined before the first {@link read}. */
	get contents(): TlsContents | undefined {
		return this.#contents;
	}

	/**
	 * Reads the files and checks that they can be used together.
	 *
	 * @returns The contents, or `tls-unusable`; in that case the previous contents stay in use.
	 */
	read(): Result<TlsContents, Failure> {
		const {certificateFile, keyFile, authorityFile} = this.#options;
		try {
			const contents = {
				cert: fs.readFileSync(certificateFile, 'utf8'),
				key: fs.readFileSync(keyFile, 'utf8'),
				authority: authorityFile === undefined ? undefined : fs.readFileSync(authorityFile, 'utf8'),
			};
			createSecureContext({cert: contents.cert, key: contents.key, ca: contents.authority});
			if (Date.parse(new X509Certificate(contents.cert).validTo) < Date.now()) {
				return this.#refuse('the certificate has expired');
			}

			this.#contents = contents;
			return ok(contents);
		} catch (error) {
			const {code, name} = error as NodeJS.ErrnoException;
			return this.#refuse(code ?? name);
		}
	}

	/**
	 * Polls the files for changes.
	 *
	 * @param onChange - Called with the new contents.
	 */
	watch(onChange: (contents: TlsContents) => void): void {
		this.#timer ??= setInterval(() => {
			this.#reload(onChange);
		}, this.#options.pollMilliseconds).unref();
	}

	/** Stops polling the files. */
	stop(): void {
		clearInterval(this.#timer);
		this.#timer = undefined;
	}

	#reload(onChange: (contents: TlsContents) => void): void {
		const previous = this.#contents;
		const {certificateFile} = this.#options;
		const read = this.read();
		if (read.isErr()) {
			logger.logFailure(LogLevel.warn, 'tls-unreadable', read.error);
			return;
		}

		const {cert, key, authority} = read.value;
		if (cert !== previous?.cert || key !== previous.key || authority !== previous.authority) {
			logger.log(LogLevel.info, 'tls-reloaded', {certificateFile});
			onChange(read.value);
		}
	}

	#refuse(reason: string): Result<TlsContents, Failure> {
		const {certificateFile, keyFile} = this.#options;
		return err(createFailure('tls-unusable', {certificate: certificateFile, key: keyFile, reason}));
	}
}
